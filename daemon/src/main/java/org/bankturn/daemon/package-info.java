/**
 * The daemon bankturnd: start, wiring by role, planned stop.
 */
package org.bankturn.daemon;

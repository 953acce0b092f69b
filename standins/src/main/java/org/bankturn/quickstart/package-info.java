/**
 * The quickstart: a whole deployment on loopback, two versions moved under load, promises checked.
 */
package org.bankturn.quickstart;

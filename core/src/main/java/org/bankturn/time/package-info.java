/**
 * Clocks with millisecond resolution that are injected into components to make them testable.
 */
package org.bankturn.time;

/**
 * Time in milliseconds, passed in everywhere so that every coordination part can be driven by a test.
 */
package org.bankturn.time;

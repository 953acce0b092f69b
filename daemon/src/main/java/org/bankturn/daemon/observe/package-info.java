/**
 * Metrics, traces and logs.
 */
package org.bankturn.daemon.observe;

/** Metrics, traces and the decision log. */
package org.bankturn.daemon.observe;

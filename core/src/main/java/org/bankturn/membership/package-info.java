/**
 * What is known of targets and of every process: who is leaving, who serves which version, who lags.
 */
package org.bankturn.membership;

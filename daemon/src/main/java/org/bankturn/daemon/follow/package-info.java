/**
 * Distribution of the configuration to the processes, and forwarding of their reports to the configuration sources.
 */
package org.bankturn.daemon.follow;

package org.bankturn.daemon.http;

/**
 * What a connection's peer may send and how long it may rest.
 *
 * @param maxHeadBytes the largest head
 * @param maxBodyBytes the largest body
 * @param headTimeoutMillis the longest that a head may take
 * @param idleTimeoutMillis the longest that a connection may rest
 */
public record ServerLimits(int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
    /** Limits of connections from operators, targets and the platform. */
    public static final ServerLimits CONTROL = new ServerLimits(16_384, 16 << 20, 5_000, 30_000);
}

package org.bankturn.daemon.http;

/**
 * Limits on the clients of a {@link HttpListener}.
 *
 * @param maxHeadBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headTimeoutMillis the timeout for receiving a head
 * @param idleTimeoutMillis the timeout for idle connections and stalled writes
 */
public record ServerLimits(int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
    /** Limits for connections from operators, targets and the platform. */
    public static final ServerLimits CONTROL = new ServerLimits(16_384, 16 << 20, 5_000, 30_000);
}

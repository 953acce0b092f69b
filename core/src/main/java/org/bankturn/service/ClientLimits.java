package org.bankturn.service;

/**
 * Size limits and timeouts for client connections.
 *
 * @param maximumHeaderBytes the maximum size of the request line and headers
 * @param maximumBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis the maximum time to receive the request line and headers
 * @param idleTimeoutMillis the maximum time that a connection may be idle
 */
public record ClientLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits that apply when the operators have configured none. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 << 20, 3_000, 15_000);
}

package org.bankturn.service;

/**
 * What callers may send and how long they may rest.
 *
 * @param maximumHeaderBytes the largest head
 * @param maximumBodyBytes the largest body
 * @param headerTimeoutMillis the longest that a head may take
 * @param idleTimeoutMillis the longest that a connection may rest
 */
public record ClientLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** What holds before operators have said anything. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4 << 20, 3_000, 15_000);
}

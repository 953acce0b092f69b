package org.bankturn.routing;

import org.bankturn.service.SlowStart;

/**
 * The part of a cold target's rate that one of the chosen gateways may use without asking anyone.
 *
 * <p>Each of the chosen gateways spaces its requests by the interval, so that all of them together send at most
 * {@code requestsPerSecond + gateways} in any second, at whatever moments they restart. With at most half as many gateways
 * as requests per second, that is at most 1.5 times the rate.
 *
 * <p>SlowStartShare is immutable and thread-safe.
 *
 * @param gateways the number of gateways that may send, 1 or more
 * @param intervalMillis the time between two requests of one of them
 */
record SlowStartShare(int gateways, long intervalMillis) {
    /** The minimum rate; below it, the interval would exceed the time for which a target is cold. */
    private static final double MIN_PER_SECOND = 0.1;

    /** The interval at the minimum rate. */
    static final long MAX_INTERVAL_MILLIS = 10_000;

    private static final double GATEWAYS_PER_RATE = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000;

    static SlowStartShare of(SlowStart slowStart) {
        double rate = Math.max(MIN_PER_SECOND, slowStart.requestsPerSecond());
        int gateways = (int) Math.max(1, Math.floor(rate * GATEWAYS_PER_RATE));
        return new SlowStartShare(gateways, (long) Math.ceil(gateways * MILLIS_PER_SECOND / rate));
    }
}

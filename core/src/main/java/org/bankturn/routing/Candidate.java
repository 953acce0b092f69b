package org.bankturn.routing;

/**
 * A target and its predicted delays for a request.
 *
 * @param target the target, not null
 * @param predictedMillis the time to the first event
 * @param roundTripMillis the part of it that is network round trip
 * @param interruptionMillis the additional cost of an expected interruption
 */
public record Candidate(TargetState target, double predictedMillis, long roundTripMillis, double interruptionMillis) {
    /** Returns the cost used for comparison, in milliseconds. */
    double costMillis() {
        return predictedMillis + interruptionMillis;
    }
}

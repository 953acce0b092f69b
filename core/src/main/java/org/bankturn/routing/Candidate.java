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
    /** The probability of an interruption from which an engine does not get a last attempt if there is another. */
    private static final double MAX_LAST_ATTEMPT_INTERRUPTION = 0.05;

    /** Returns the cost used for comparison, in milliseconds. */
    double costMillis() {
        return predictedMillis + interruptionMillis;
    }

    /** Returns true if an engine is likely to start a request in time and not to interrupt it. */
    boolean completesLastAttempt(Requirements requirements, long now) {
        long untilInterruption = target.untilInterruptionMillis(now);
        // a change without a planned time is still ahead of an engine with older weights
        boolean interrupts = untilInterruption > 0
                ? InterruptionCost.probability(requirements.service().engine(), untilInterruption, predictedMillis)
                        > MAX_LAST_ATTEMPT_INTERRUPTION
                : target.heldVersion() < requirements.deadlines().newestVersion();
        return !interrupts && predictedMillis <= requirements.objectiveMillis();
    }
}

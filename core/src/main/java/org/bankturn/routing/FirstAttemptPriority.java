package org.bankturn.routing;

import org.bankturn.time.Clock;

/**
 * Keeps places for requests that are tried for the first time while there are too few for all, for long.
 *
 * <p>Load pattern: more requests than engines bear. Callers that were refused come back, and their answers are late whatever
 * happens; each place that one of them gets is missing for a first try that could still be answered in time, which is then
 * refused and comes back late as well. Once first tries have been refused for longer than callers stay away, returning
 * callers are therefore refused sooner. A shortage that passes, as while engines come back, ends before that; then those
 * who had to wait are taken on like all others, since there will be places for them.
 *
 * <p>FirstTries is mutable and not thread-safe.
 */
final class FirstAttemptPriority {
    /** The share of a new observation: about the last ten first tries count. */
    private static final double SMOOTHING = 0.1;

    /** Where that share of the first tries is refused, returning callers get no place that another might want. */
    private static final double SHORTAGE_THRESHOLD = 0.1;

    /** Most callers that were refused have come back by then. */
    private static final long MIN_SHORTAGE_MILLIS = 3_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final Clock clock;
    private double refusedShare;
    private long shortageStartMillis = NEVER;

    static FirstAttemptPriority none(Clock clock) {
        return new FirstAttemptPriority(clock);
    }

    private FirstAttemptPriority(Clock clock) {
        this.clock = clock;
    }

    /** Takes in what was decided about a first try. */
    void recordDecision(boolean refused) {
        refusedShare += SMOOTHING * ((refused ? 1 : 0) - refusedShare);
        if (refusedShare < SHORTAGE_THRESHOLD / 2) {
            shortageStartMillis = NEVER;
        } else if (refusedShare >= SHORTAGE_THRESHOLD && shortageStartMillis == NEVER) {
            shortageStartMillis = clock.millis();
        }
    }

    /** Takes in that no engine could take a first try: what was short before tells nothing of what follows. */
    void reset() {
        refusedShare = 0;
        shortageStartMillis = NEVER;
    }

    /** Returns how much of the usual limit holds for a caller that has come back, 0 to 1. */
    double retryLimitFactor() {
        boolean persistent =
                shortageStartMillis != NEVER && clock.millis() - shortageStartMillis >= MIN_SHORTAGE_MILLIS;
        return persistent ? Math.max(0, 1 - refusedShare / SHORTAGE_THRESHOLD) : 1;
    }
}

package org.bankturn.routing;

import org.bankturn.time.Clock;

/**
 * Gives first attempts priority over caller retries during a lasting shortage of capacity.
 *
 * <p>Load pattern: sustained overload. Answers to caller retries are late in any case, and each slot that one of them
 * gets is missing for a first attempt that could still meet its objective. Once first attempts have been rejected for
 * longer than callers back off, the admission limit for retries is lowered. Short shortages, as while engines restart,
 * end before that.
 *
 * <p>FirstAttemptPriority is mutable and not thread-safe.
 */
final class FirstAttemptPriority {
    /** The weight of a new observation in the moving average. */
    private static final double SMOOTHING = 0.1;

    /** The share of rejected first attempts at which retries are no longer admitted. */
    private static final double SHORTAGE_THRESHOLD = 0.1;

    /** The share of rejected first attempts at which a shortage is over; chance alone must not reach it during one. */
    private static final double SHORTAGE_END_THRESHOLD = 0.02;

    /** The duration after which a shortage counts as lasting; most rejected callers have retried by then. */
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

    /** Records the admission decision on a first attempt. */
    void recordDecision(boolean refused) {
        refusedShare += SMOOTHING * ((refused ? 1 : 0) - refusedShare);
        if (refusedShare < SHORTAGE_END_THRESHOLD) {
            shortageStartMillis = NEVER;
        } else if (refusedShare >= SHORTAGE_THRESHOLD && shortageStartMillis == NEVER) {
            shortageStartMillis = clock.millis();
        }
    }

    /** Resets the state because no engine was available for a first attempt. */
    void reset() {
        refusedShare = 0;
        shortageStartMillis = NEVER;
    }

    /** Returns true if a notable share of first attempts is rejected. */
    boolean isShort() {
        return shortageStartMillis != NEVER;
    }

    /** Returns the factor, 0 to 1, by which the admission limit for caller retries is reduced. */
    double retryLimitFactor() {
        boolean persistent =
                shortageStartMillis != NEVER && clock.millis() - shortageStartMillis >= MIN_SHORTAGE_MILLIS;
        return persistent ? Math.max(0, 1 - refusedShare / SHORTAGE_THRESHOLD) : 1;
    }
}

package org.bankturn.routing;

/**
 * Says how long a target may say nothing before a request that may be repeated is taken away from it.
 *
 * <p>Load pattern: a target that crashed in silence, or lost a part of its requests, beside many that are only slow. Taking
 * a request away from a slow target has its prompt read twice, which makes all slower. So a request stays longer with a
 * target that answers others meanwhile, and until twice the time that was predicted for it.
 *
 * <p>SilenceBound has no state.
 */
public final class SilenceTimeout {
    /** The least time: a pass of a busy engine with several prompts to read takes 0.2 to 0.4 s. */
    private static final long MIN_MILLIS = 700;

    /** An answer that has not begun after that many objectives is late already. */
    private static final double OBJECTIVE_FACTOR = 1.8;

    /** Predictions are off by less than this factor for most requests. */
    private static final double PREDICTION_FACTOR = 2;

    /** What a stream may pause: engines that read long prompts pause for some passes. */
    private static final long BETWEEN_EVENTS_MILLIS = 1_300;

    /** How much longer a target is given that answers other requests meanwhile. */
    private static final double ACTIVE_TARGET_FACTOR = 2;

    private SilenceTimeout() {}

    /**
     * Returns the bound before the first event.
     *
     * @param objectiveMillis the time within which the first event is in time
     * @param predictedMillis when it was predicted to come
     * @param targetActive true if the target answered other requests of late
     */
    public static long beforeFirstEventMillis(long objectiveMillis, double predictedMillis, boolean targetActive) {
        double timeout =
                Math.max(MIN_MILLIS, Math.max(objectiveMillis * OBJECTIVE_FACTOR, predictedMillis * PREDICTION_FACTOR));
        return Math.round(timeout * (targetActive ? ACTIVE_TARGET_FACTOR : 1));
    }

    /** Returns the bound once events have come. */
    public static long betweenEventsMillis(boolean targetActive) {
        return Math.round(BETWEEN_EVENTS_MILLIS * (targetActive ? ACTIVE_TARGET_FACTOR : 1));
    }
}

package org.bankturn.routing;

/**
 * Computes how long a target may send nothing before a repeatable request is moved to another target.
 *
 * <p>Load pattern: a target that crashed silently, or lost some of its requests, among many that are only slow. Moving
 * a request away from a slow target processes its prompt twice, which slows all of them down. The timeout is therefore
 * longer for targets that respond to other requests, and at least twice the predicted time.
 *
 * <p>SilenceTimeout has no state.
 */
public final class SilenceTimeout {
    /** The minimum timeout; a pass of a busy engine with several prompts takes 200 to 400 ms. */
    private static final long MIN_MILLIS = 700;

    /** The timeout before the first event, as a multiple of the objective. */
    private static final double OBJECTIVE_FACTOR = 1.8;

    /** The timeout before the first event, as a multiple of the prediction. */
    private static final double PREDICTION_FACTOR = 2;

    /** The timeout between events; engines that process long prompts pause for several passes. */
    private static final long BETWEEN_EVENTS_MILLIS = 1_300;

    /** The factor for a target that responds to other requests. */
    private static final double ACTIVE_TARGET_FACTOR = 2;

    private SilenceTimeout() {}

    /**
     * Returns the timeout before the first event.
     *
     * @param objectiveMillis the objective for the first event
     * @param predictedMillis the predicted time to the first event
     * @param targetActive true if the target recently responded to other requests
     */
    public static long beforeFirstEventMillis(long objectiveMillis, double predictedMillis, boolean targetActive) {
        double timeout =
                Math.max(MIN_MILLIS, Math.max(objectiveMillis * OBJECTIVE_FACTOR, predictedMillis * PREDICTION_FACTOR));
        return Math.round(timeout * (targetActive ? ACTIVE_TARGET_FACTOR : 1));
    }

    /** Returns the timeout between events. */
    public static long betweenEventsMillis(boolean targetActive) {
        return Math.round(BETWEEN_EVENTS_MILLIS * (targetActive ? ACTIVE_TARGET_FACTOR : 1));
    }
}

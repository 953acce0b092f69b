package org.bankturn.routing;

/**
 * Computes the maximum expected start delay at which a request is still admitted.
 *
 * <p>A request that would miss its objective is rejected immediately so that its caller can retry. As engines fill up,
 * lower priorities are rejected first, which leaves capacity for higher ones.
 *
 * <p>AdmissionPolicy has no state.
 */
public final class AdmissionPolicy {
    private static final double HIGHEST_PRIORITY_SHARE = 0.9;
    private static final double SHARE_PER_RANK = 0.85;
    private static final int MAX_RANK = 3;

    /** The share of the maximum start delay that applies to a request while larger ones of its route are underserved. */
    static final double SHARE_BESIDE_UNDERSERVED = 0.9;

    private AdmissionPolicy() {}

    /**
     * Returns the maximum start delay at which a request is admitted.
     *
     * @param objectiveMillis the request's objective for the first event
     * @param priority the request's priority, 0 is highest
     * @param highestPriority the highest priority among the routes that the same targets serve
     * @return the delay in milliseconds
     * @throws IllegalArgumentException if an argument is negative
     */
    public static double maxStartDelayMillis(long objectiveMillis, int priority, int highestPriority) {
        if (objectiveMillis < 0 || priority < 0 || highestPriority < 0) {
            throw new IllegalArgumentException("objective, priority and highest priority must not be negative: "
                    + objectiveMillis + ", " + priority + ", " + highestPriority);
        }
        int rank = Math.min(MAX_RANK, Math.max(0, priority - highestPriority));
        return objectiveMillis * HIGHEST_PRIORITY_SHARE * Math.pow(SHARE_PER_RANK, rank);
    }
}

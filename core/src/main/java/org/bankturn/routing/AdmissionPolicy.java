package org.bankturn.routing;

/**
 * Says how late a request may be expected to begin before it is refused.
 *
 * <p>A request that would miss its objective is better refused at once, so that its caller can come back. When engines
 * fill up, the kinds that are less urgent are refused first, which keeps places for the more urgent ones.
 *
 * <p>AdmissionPolicy has no state.
 */
public final class AdmissionPolicy {
    private static final double HIGHEST_PRIORITY_SHARE = 0.9;
    private static final double SHARE_PER_RANK = 0.85;
    private static final int MAX_RANK = 3;

    private AdmissionPolicy() {}

    /**
     * Returns the latest beginning that is still admitted.
     *
     * @param objectiveMillis the request's objective
     * @param priority its rank, 0 is most urgent
     * @param highestPriority the rank of the most urgent kind that the same targets serve
     * @return milliseconds
     * @throws IllegalArgumentException if an argument is negative
     */
    public static double maxStartDelayMillis(long objectiveMillis, int priority, int highestPriority) {
        if (objectiveMillis < 0 || priority < 0 || highestPriority < 0) {
            throw new IllegalArgumentException("objective, urgency and most urgent must be 0 or more, not "
                    + objectiveMillis + ", " + priority + ", " + highestPriority);
        }
        int rank = Math.min(MAX_RANK, Math.max(0, priority - highestPriority));
        return objectiveMillis * HIGHEST_PRIORITY_SHARE * Math.pow(SHARE_PER_RANK, rank);
    }
}

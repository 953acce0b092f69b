package org.bankturn.replay;

/**
 * What came of a replay.
 *
 * @param requests the requests that were made
 * @param inTime the share answered whole, in time, counted from the first try
 * @param late the share answered whole, late
 * @param lost the share without an answer
 * @param lostAfterRetry the share without an answer whose callers had come back in vain
 * @param worstSecond the least share in time among the requests of one second
 * @param medianMillis the median time to the first event, of what was answered
 * @param p99Millis the 99th percentile of the same
 * @param rejections the share of the sends that engines rejected as full
 * @param interrupted the share of the sends taken away from an engine that was silent or broke off
 * @param repeatedPromptTokens prompt tokens that were read more than once for that
 * @param loadPolls questions for load, per request
 * @param busyShare the share of the time in which engines were at work
 * @param engineCrashes how often engines ended under a request that ends them
 * @param falselyCondemned how often a request that ends none was refused or stopped as one that does
 */
public record ReplayResult(
        int requests,
        double inTime,
        double late,
        double lost,
        double lostAfterRetry,
        double worstSecond,
        long medianMillis,
        long p99Millis,
        double rejections,
        double interrupted,
        long repeatedPromptTokens,
        double loadPolls,
        double busyShare,
        int engineCrashes,
        int falselyCondemned) {
    /** A late answer is worth about a quarter of one in time, on the users' sheets. */
    private static final double LATE_WORTH = 0.25;

    /** A caller that came back in vain costs that share of its credit, on the users' pages. */
    private static final double IN_VAIN_PRICE = 0.3;

    /** Returns the share of the credit that is earned, less the price of callers that came back in vain. */
    public double creditNetOfRetries() {
        return credit() - IN_VAIN_PRICE * lostAfterRetry;
    }

    /** Returns the share of the credit that is earned. */
    public double credit() {
        return inTime + LATE_WORTH * late;
    }
}

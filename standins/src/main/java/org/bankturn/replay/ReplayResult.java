package org.bankturn.replay;

import java.util.List;

/**
 * The metrics of a replay.
 *
 * @param requests the number of requests
 * @param inTime the share answered completely and within the objectives, measured from the first attempt
 * @param late the share answered completely but late
 * @param lost the share without an answer
 * @param lostAfterRetry the share without an answer after a retry by the caller
 * @param worstSecond the lowest share answered in time among the requests created in one second
 * @param medianMillis the median time to the first event of answered requests
 * @param p99Millis the 99th percentile of the time to the first event
 * @param rejections the share of attempts that engines rejected as full
 * @param interrupted the share of attempts lost to unresponsive or interrupted engines
 * @param repeatedPromptTokens prompt tokens that were read again because of interrupted attempts
 * @param loadPolls load polls per request
 * @param busyShare the share of time in which engines were busy
 * @param engineCrashes the number of engine crashes caused by the crashing request
 * @param falselyCondemned how often a harmless request was rejected as a crashing one
 * @param lateCrashingRequests how many requests that crash their engines reached one later than 3 s after the fifth crash
 * @param servedBySize the shares served by size, for each kind of request, not null
 * @param byKind the outcomes of each kind of request, not null
 * @param byAccount the outcomes of each account's requests, not null
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
        int falselyCondemned,
        int lateCrashingRequests,
        List<ServedBySize> servedBySize,
        List<GroupOutcome> byKind,
        List<GroupOutcome> byAccount) {
    /** The credit of a late answer, relative to one in time. */
    static final double LATE_CREDIT = 0.25;

    /** The penalty for a request that failed after a retry. */
    static final double FAILED_RETRY_PENALTY = 0.3;

    /** Copies the shares. */
    public ReplayResult {
        servedBySize = List.copyOf(servedBySize);
        byKind = List.copyOf(byKind);
        byAccount = List.copyOf(byAccount);
    }

    /** Returns the outcome of a kind of request, not null. */
    public GroupOutcome kind(String name) {
        return byKind.stream()
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the outcome of an account's requests, not null. */
    public GroupOutcome account(String name) {
        return byAccount.stream()
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the earned share of the credit that all requests could earn, each with the credit of its kind. */
    public double weightedCredit() {
        double earned = byKind.stream().mapToDouble(GroupOutcome::earned).sum();
        return earned / byKind.stream().mapToDouble(GroupOutcome::possible).sum();
    }

    /** Returns the earned credit less the penalty for failed retries. */
    public double creditNetOfRetries() {
        return credit() - FAILED_RETRY_PENALTY * lostAfterRetry;
    }

    /** Returns the earned share of the possible credit. */
    public double credit() {
        return inTime + LATE_CREDIT * late;
    }
}

package org.bankturn.daemon.member;

/**
 * The times and sizes of a {@link MemberLoop}.
 *
 * @param tickMillis the longest pause between two steps
 * @param submissionTimeoutMillis how long a submission waits for its entry to be committed
 * @param joinRetryMillis the pause between two requests to join
 * @param rejoinsWithoutLeader true if a member that hears from no leader for four such pauses asks to join as well, since it
 *     may have been removed without having heard of it
 * @param snapshotEvery the number of applied entries between two snapshots
 */
public record MemberLoopSettings(
        long tickMillis,
        long submissionTimeoutMillis,
        long joinRetryMillis,
        boolean rejoinsWithoutLeader,
        int snapshotEvery) {}

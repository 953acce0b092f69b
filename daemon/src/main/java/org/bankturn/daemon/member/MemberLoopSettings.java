package org.bankturn.daemon.member;

/**
 * The settings of a {@link MemberLoop}.
 *
 * @param tickMillis the maximum interval between steps
 * @param submissionTimeoutMillis how long a submission waits for its entry to be committed
 * @param joinRetryMillis the interval between join requests
 * @param rejoinsWithoutLeader true if a member without a leader for four such intervals sends join requests too, since it
 *     may have been removed from the group without receiving the change
 * @param snapshotEvery the number of applied entries between snapshots
 */
public record MemberLoopSettings(
        long tickMillis,
        long submissionTimeoutMillis,
        long joinRetryMillis,
        boolean rejoinsWithoutLeader,
        int snapshotEvery) {}

package org.bankturn.daemon.member;

/**
 * The settings of a {@link MemberLoop}.
 *
 * @param tickMillis the maximum interval between steps
 * @param submissionTimeoutMillis how long a submission waits for its entry to be committed
 * @param joinRetryMillis the interval between join requests
 * @param rejoinsWithoutLeader true if a member without a leader for four such intervals sends join requests too, since it
 *     may have been removed from the group without receiving the change
 * @param snapshotEvery the maximum number of applied entries after the snapshot
 * @param snapshotBytes the maximum size of the applied entries after the snapshot, unless the snapshot itself is larger
 */
public record MemberLoopSettings(
        long tickMillis,
        long submissionTimeoutMillis,
        long joinRetryMillis,
        boolean rejoinsWithoutLeader,
        int snapshotEvery,
        long snapshotBytes) {
    /**
     * A member reads back its log before it answers, and its memory is a few hundred MB at most: a log of this size takes a
     * small part of both.
     */
    public static final long DEFAULT_SNAPSHOT_BYTES = 4 << 20;

    /** A large snapshot is written only after this many times its size in entries, so that it adds half to them at most. */
    private static final int MIN_SNAPSHOT_SIZES = 2;

    /**
     * Returns true if the applied entries after the snapshot are to be replaced by a new snapshot.
     *
     * @param entries the number of applied entries after the snapshot
     * @param bytes their size
     * @param stateBytes the size of the snapshot's state
     */
    boolean needsSnapshot(long entries, long bytes, long stateBytes) {
        return entries >= snapshotEvery || bytes >= Math.max(snapshotBytes, MIN_SNAPSHOT_SIZES * stateBytes);
    }
}

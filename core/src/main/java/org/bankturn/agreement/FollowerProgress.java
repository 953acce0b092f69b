package org.bankturn.agreement;

/**
 * The replication progress of one follower, as tracked by the leader.
 *
 * <p>Entries that were sent and not acknowledged are under way until they are acknowledged, rejected or presumed lost.
 *
 * <p>FollowerProgress is mutable and not thread-safe.
 */
final class FollowerProgress {
    private static final long NONE = 0;

    private long nextIndex;
    private long matchIndex;
    private long lastContactMillis;
    private boolean hasResponded;
    private long firstUnderWay = NONE;
    private long presumedLostMillis;
    private long sentSnapshotIndex = NONE;
    private long snapshotResendMillis = Long.MIN_VALUE;

    FollowerProgress(long nextIndex, long lastContactMillis) {
        this.nextIndex = nextIndex;
        this.lastContactMillis = lastContactMillis;
    }

    long nextIndex() {
        return nextIndex;
    }

    long matchIndex() {
        return matchIndex;
    }

    long lastContactMillis() {
        return lastContactMillis;
    }

    /** Returns true if the follower has responded since it is tracked. */
    boolean hasResponded() {
        return hasResponded;
    }

    /** Returns the index of the first entry under way, or the next index if none is. */
    long firstUnderWay() {
        return isUnderWay() ? firstUnderWay : nextIndex;
    }

    /** Returns true if an acknowledgement is awaited. */
    boolean isUnderWay() {
        return firstUnderWay != NONE;
    }

    /** Returns true if the position of the next entry is neither acknowledged nor being checked. */
    boolean mustProbe() {
        return !isUnderWay() && matchIndex < nextIndex - 1;
    }

    void recordContact(long nowMillis) {
        lastContactMillis = nowMillis;
        hasResponded = true;
    }

    /**
     * Records that the entries up to an index were sent.
     *
     * @param index the last index sent, one less than the next index if the message had no entries
     * @param presumedLostMillis the time from which the message counts as lost
     */
    void recordSent(long index, long presumedLostMillis) {
        if (!isUnderWay()) {
            firstUnderWay = nextIndex;
        }
        nextIndex = Math.max(nextIndex, index + 1);
        this.presumedLostMillis = presumedLostMillis;
    }

    /** Returns true if a snapshot may be sent, because the last one was acknowledged or is presumed lost. */
    boolean maySendSnapshot(long nowMillis) {
        return matchIndex >= sentSnapshotIndex || nowMillis >= snapshotResendMillis;
    }

    /**
     * Records that a snapshot was sent.
     *
     * @param index the last index of the snapshot
     * @param resendMillis the time from which the snapshot counts as lost
     */
    void recordSnapshotSent(long index, long resendMillis) {
        sentSnapshotIndex = index;
        snapshotResendMillis = resendMillis;
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        if (isUnderWay()) {
            firstUnderWay = Math.max(firstUnderWay, matchIndex + 1);
        }
        if (matchIndex >= nextIndex - 1) {
            firstUnderWay = NONE;
        }
    }

    /** Sends the entries under way again if they are presumed lost. */
    void rewindIfLost(long nowMillis) {
        if (isUnderWay() && nowMillis >= presumedLostMillis) {
            nextIndex = Math.max(matchIndex + 1, firstUnderWay);
            firstUnderWay = NONE;
        }
    }

    /**
     * Moves the next index back after a rejection, unless the entries that the follower asks for are under way; a delayed
     * rejection never moves it forward.
     *
     * @param index the next index that the follower asks for
     * @return true if entries must be sent from the new next index
     */
    boolean rewindTo(long index) {
        if (Math.max(matchIndex + 1, index) >= firstUnderWay()) {
            return false;
        }
        resendFrom(index);
        return true;
    }

    /** Moves the next index back after a rejection, also if the entries that the follower asks for are under way. */
    void resendFrom(long index) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, index));
        firstUnderWay = NONE;
    }
}

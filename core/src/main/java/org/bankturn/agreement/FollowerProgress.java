package org.bankturn.agreement;

/**
 * The replication progress of one follower, as tracked by the leader.
 *
 * <p>FollowerProgress is mutable and not thread-safe.
 */
final class FollowerProgress {
    private long nextIndex;
    private long matchIndex;
    private long lastContactMillis;
    private long snapshotSentMillis = Long.MIN_VALUE;

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

    long snapshotSentMillis() {
        return snapshotSentMillis;
    }

    void recordContact(long nowMillis) {
        lastContactMillis = nowMillis;
    }

    void recordSent(long index) {
        nextIndex = Math.max(nextIndex, index + 1);
    }

    void recordSnapshotSent(long nowMillis) {
        snapshotSentMillis = nowMillis;
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    /** Moves the next index back after a rejection; a delayed rejection never moves it forward. */
    void rewindTo(long index) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, index));
    }
}

package org.bankturn.agreement;

/**
 * What a leader knows of one follower.
 *
 * <p>FollowerProgress is mutable and not thread-safe.
 */
final class FollowerProgress {
    private long nextIndex;
    private long matchIndex;
    private long lastContactMillis;
    private long snapshotSentMillis = Long.MIN_VALUE;

    FollowerProgress(long nextIndex, long heardMillis) {
        this.nextIndex = nextIndex;
        this.lastContactMillis = heardMillis;
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

    /** Goes back after a rejection; one that comes late never moves on. */
    void rewindTo(long index) {
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, index));
    }
}

package org.bankturn.agreement;

/**
 * Timing and size limits of a Raft group.
 *
 * @param electionTimeoutMillis the minimum election timeout; each timeout is drawn between this value and twice as much
 * @param heartbeatMillis the interval between heartbeats, at most a third of the election timeout
 * @param maxBatchEntries the maximum number of entries in one message
 * @param minMembers the group size at or below which unresponsive members are not removed
 * @param maxBytesUnderWay the maximum size of the entries that are sent to a member and not acknowledged; a larger entry
 *     is sent alone
 */
public record RaftSettings(
        long electionTimeoutMillis, long heartbeatMillis, int maxBatchEntries, int minMembers, int maxBytesUnderWay) {
    /** The value of {@code minMembers} that disables the removal of unresponsive members. */
    public static final int NEVER_REMOVE_MEMBERS = Integer.MAX_VALUE;

    /** The smallest group that tolerates the loss of a member. */
    private static final int SMALLEST_GROUP = 3;

    /** A link between regions of 20 Mbit/s carries this in 50 ms, half a heartbeat of a group with default settings. */
    public static final int DEFAULT_MAX_BYTES_UNDER_WAY = 128 << 10;

    /** The slowest link on which a message is waited for before it is sent again: 2 Mbit/s. */
    private static final int MIN_BYTES_PER_MILLI = 250;

    /** Settings for data halls with round trips of a few milliseconds. */
    public static final RaftSettings DEFAULT = new RaftSettings(1_000, 150, 64, NEVER_REMOVE_MEMBERS);

    /**
     * Creates settings that never remove unresponsive members.
     *
     * @param electionTimeoutMillis the minimum election timeout
     * @param heartbeatMillis the interval between heartbeats
     * @param maxBatchEntries the maximum number of entries in one message
     */
    public RaftSettings(long electionTimeoutMillis, long heartbeatMillis, int maxBatchEntries) {
        this(electionTimeoutMillis, heartbeatMillis, maxBatchEntries, NEVER_REMOVE_MEMBERS);
    }

    /**
     * Creates settings with the default number of bytes under way.
     *
     * @param electionTimeoutMillis the minimum election timeout
     * @param heartbeatMillis the interval between heartbeats
     * @param maxBatchEntries the maximum number of entries in one message
     * @param minMembers the group size at or below which unresponsive members are not removed
     */
    public RaftSettings(long electionTimeoutMillis, long heartbeatMillis, int maxBatchEntries, int minMembers) {
        this(electionTimeoutMillis, heartbeatMillis, maxBatchEntries, minMembers, DEFAULT_MAX_BYTES_UNDER_WAY);
    }

    /** Returns the time that a message of the given size takes on the slowest link that the group is to work on. */
    long transferMillis(long bytes) {
        return bytes / MIN_BYTES_PER_MILLI;
    }

    /**
     * Returns the smallest group in which every acknowledged entry is on more disks than may be lost, and which still has
     * a majority after the loss.
     *
     * @param toleratedLosses the number of members that may be lost at the same time, not negative
     */
    public static int minMembersFor(int toleratedLosses) {
        if (toleratedLosses < 0) {
            throw new IllegalArgumentException("toleratedLosses must not be negative: " + toleratedLosses);
        }
        return Math.max(SMALLEST_GROUP, 2 * toleratedLosses + 1);
    }

    /** Validates the timing. */
    public RaftSettings {
        if (heartbeatMillis <= 0 || electionTimeoutMillis < 3 * heartbeatMillis) {
            throw new IllegalArgumentException(
                    "heartbeatMillis must be positive and electionTimeoutMillis at least three"
                            + " times as long: heartbeatMillis=" + heartbeatMillis + ", electionTimeoutMillis="
                            + electionTimeoutMillis);
        }
    }
}

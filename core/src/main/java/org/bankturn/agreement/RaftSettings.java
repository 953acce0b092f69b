package org.bankturn.agreement;

/**
 * Timing and sizes of an agreement group.
 *
 * @param electionTimeoutMillis silence after which a member stands for election; drawn between one and two of these
 * @param heartbeatMillis the time between a leader's messages, well below the election timeout
 * @param maxBatchEntries entries in one message at most
 * @param minMembers silent members are taken out of larger groups than this
 */
public record RaftSettings(long electionTimeoutMillis, long heartbeatMillis, int maxBatchEntries, int minMembers) {
    /** A group that never takes out members because they are silent. */
    public static final int NEVER_REMOVE_MEMBERS = Integer.MAX_VALUE;

    /** Settings for halls a few milliseconds apart. */
    public static final RaftSettings DEFAULT = new RaftSettings(1_000, 150, 64, NEVER_REMOVE_MEMBERS);

    /**
     * Returns settings of a group that keeps silent members.
     *
     * @param electionTimeoutMillis see the class
     * @param heartbeatMillis see the class
     * @param maxBatchEntries see the class
     */
    public RaftSettings(long electionTimeoutMillis, long heartbeatMillis, int maxBatchEntries) {
        this(electionTimeoutMillis, heartbeatMillis, maxBatchEntries, NEVER_REMOVE_MEMBERS);
    }

    /** Checks that heartbeats are well below the timeout. */
    public RaftSettings {
        if (heartbeatMillis <= 0 || electionTimeoutMillis < 3 * heartbeatMillis) {
            throw new IllegalArgumentException("electionTimeoutMillis must be three heartbeats or more: "
                    + electionTimeoutMillis + " against " + heartbeatMillis);
        }
    }
}

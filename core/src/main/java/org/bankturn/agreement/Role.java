package org.bankturn.agreement;

/** The role of a member in a Raft group. */
public enum Role {
    /** Replicates the leader's log, or waits for a leader. */
    FOLLOWER,
    /** Requests pre-votes, without incrementing the term. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Appends entries to the log and replicates them. */
    LEADER
}

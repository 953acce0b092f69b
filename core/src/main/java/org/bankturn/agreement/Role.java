package org.bankturn.agreement;

/** What a member of an agreement group is doing. */
public enum Role {
    /** Stores what a leader sends, or waits for one. */
    FOLLOWER,
    /** Asks whether it would be elected, without disturbing anyone. */
    PRE_CANDIDATE,
    /** Asks for votes in a new term. */
    CANDIDATE,
    /** Orders the log. */
    LEADER
}

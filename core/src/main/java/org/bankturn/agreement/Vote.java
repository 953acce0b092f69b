package org.bankturn.agreement;

/**
 * The current term and the vote cast in it. A member must persist both before it answers.
 *
 * @param term the current term, starting at 0
 * @param votedFor the member voted for in this term, null if none
 */
public record Vote(long term, Member votedFor) {
    /** The vote of a member that has not taken part in any term. */
    public static final Vote NONE = new Vote(0, null);
}

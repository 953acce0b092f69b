package org.bankturn.agreement;

/**
 * What a member must never forget: the newest term it has seen and whom it voted for in it.
 *
 * @param term the term, from 0
 * @param votedFor the member voted for in this term, null if none
 */
public record Vote(long term, Member votedFor) {
    /** The vote of a member that has seen no term. */
    public static final Vote NONE = new Vote(0, null);
}

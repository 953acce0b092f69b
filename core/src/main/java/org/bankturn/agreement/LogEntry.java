package org.bankturn.agreement;

import java.util.List;

/**
 * One entry of the agreement log: a command, or a change of the members.
 *
 * @param index the place in the log, from 1
 * @param term the term of the leader that wrote it
 * @param command the encoded command; empty for a leader's first entry and for a change of members
 * @param members the members from this entry on, null unless the entry changes them
 */
public record LogEntry(long index, long term, byte[] command, List<Member> members) {
    /** Returns true if the entry changes the members. */
    public boolean changesMembers() {
        return members != null;
    }
}

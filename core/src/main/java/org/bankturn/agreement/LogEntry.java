package org.bankturn.agreement;

import java.util.List;

/**
 * An entry of the Raft log: a command or a membership change.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that created the entry
 * @param command the encoded command; empty for the first entry of a term and for membership changes, not null
 * @param members the membership from this entry on, null unless the entry changes it
 */
public record LogEntry(long index, long term, byte[] command, List<Member> members) {
    /** Returns true if the entry changes the membership. */
    public boolean changesMembers() {
        return members != null;
    }
}

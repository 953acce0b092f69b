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
    /** The size of an entry without its command, in bytes. */
    private static final int OVERHEAD_BYTES = 64;

    /** Returns true if the entry changes the membership. */
    public boolean changesMembers() {
        return members != null;
    }

    /** Returns the approximate size of the entry in messages and in storage, in bytes. */
    public int sizeBytes() {
        return OVERHEAD_BYTES + command.length;
    }
}

package org.bankturn.agreement;

import java.util.List;

/**
 * The applied state up to an index, replacing the log entries up to it.
 *
 * @param index the index of the last included entry, 0 if none
 * @param term the term of the last included entry
 * @param members the membership at the last included entry, not null
 * @param state the encoded state, not null
 */
public record Snapshot(long index, long term, List<Member> members, byte[] state) {
    /**
     * Returns the initial snapshot of a new group.
     *
     * @param members the initial membership, not null
     * @return a snapshot at index 0 without state, not null
     */
    public static Snapshot initial(List<Member> members) {
        return new Snapshot(0, 0, List.copyOf(members), new byte[0]);
    }
}

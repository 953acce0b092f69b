package org.bankturn.agreement;

import java.util.List;

/**
 * The applied state up to an index, in place of the entries that led to it.
 *
 * @param index the last entry that the state includes, 0 for none
 * @param term the term of that entry
 * @param members the members in force at that entry, not null
 * @param state the encoded state, not null
 */
public record Snapshot(long index, long term, List<Member> members, byte[] state) {
    /**
     * Returns the snapshot that a group starts from.
     *
     * @param members the first members, not null
     * @return a snapshot at index 0 with no state, not null
     */
    public static Snapshot initial(List<Member> members) {
        return new Snapshot(0, 0, List.copyOf(members), new byte[0]);
    }
}

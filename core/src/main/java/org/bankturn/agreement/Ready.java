package org.bankturn.agreement;

import java.util.List;

/**
 * What a caller must do after a step, in this order: store, then send, then apply.
 *
 * <p>The vote, the snapshot and the entries must be synced before any message is sent.
 *
 * @param vote the vote to store, null if unchanged
 * @param installed a snapshot that replaces the whole log, null if none
 * @param entries entries to store; the first one's index cuts off whatever is stored from there on
 * @param commitIndex the index up to which entries are known to be committed, to be stored with them; it may be stored
 *     late, since a member that starts again learns of more from its leader
 * @param messages messages to send once all of the above is synced
 * @param committed entries to apply, in order
 */
public record Ready(
        Vote vote,
        Snapshot installed,
        List<LogEntry> entries,
        long commitIndex,
        List<Outbound> messages,
        List<LogEntry> committed) {
    /** A message and the member it goes to. */
    public record Outbound(Member to, RaftMessage message) {}

    /** Returns true if something must be synced before messages are sent. */
    public boolean mustSync() {
        return vote != null || installed != null || !entries.isEmpty();
    }

    /** Returns true if there is nothing to do. */
    public boolean isEmpty() {
        return !mustSync() && messages.isEmpty() && committed.isEmpty();
    }
}

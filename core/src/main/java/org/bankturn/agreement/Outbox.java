package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects what must be stored and sent until {@link Ready} hands it out.
 *
 * <p>Outbox is mutable and belongs to one {@link RaftNode}.
 */
final class Outbox {
    private final List<LogEntry> unstored = new ArrayList<>();
    private final List<Ready.Outbound> messages = new ArrayList<>();
    private boolean voteChanged;
    private Snapshot installed;

    void send(Member to, RaftMessage message) {
        messages.add(new Ready.Outbound(to, message));
    }

    void voteChanged() {
        voteChanged = true;
    }

    void store(LogEntry entry) {
        unstored.add(entry);
    }

    /** Drops entries that the log no longer holds. */
    void truncateFrom(long index) {
        unstored.removeIf(waiting -> waiting.index() >= index);
    }

    /** Stores a leader's snapshot in place of every entry that waits. */
    void installSnapshot(Snapshot snapshot) {
        unstored.clear();
        installed = snapshot;
    }

    /** Hands everything out and is empty afterwards. */
    Ready drain(Vote vote, long commitIndex, List<LogEntry> committed) {
        Ready ready = new Ready(
                voteChanged ? vote : null,
                installed,
                List.copyOf(unstored),
                commitIndex,
                List.copyOf(messages),
                committed);
        voteChanged = false;
        installed = null;
        unstored.clear();
        messages.clear();
        return ready;
    }
}

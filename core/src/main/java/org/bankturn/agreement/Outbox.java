package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * Accumulates pending writes, messages and membership decisions until the next {@link Ready}.
 *
 * <p>Outbox is mutable and owned by one {@link RaftNode}.
 */
final class Outbox {
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<Ready.Outbound> messages = new ArrayList<>();
    private final List<MembershipEvent> events = new ArrayList<>();
    private boolean voteChanged;
    private Snapshot installedSnapshot;

    void send(Member to, RaftMessage message) {
        messages.add(new Ready.Outbound(to, message));
    }

    void report(MembershipEvent event) {
        events.add(event);
    }

    void voteChanged() {
        voteChanged = true;
    }

    void store(LogEntry entry) {
        entries.add(entry);
    }

    /** Discards pending entries from an index on, after the log was truncated. */
    void truncateFrom(long index) {
        entries.removeIf(waiting -> waiting.index() >= index);
    }

    /** Replaces all pending entries with a snapshot received from the leader. */
    void installSnapshot(Snapshot snapshot) {
        entries.clear();
        installedSnapshot = snapshot;
    }

    /** Returns and clears the pending work. */
    Ready drain(Vote vote, long commitIndex, List<LogEntry> committed) {
        Ready ready = new Ready(
                voteChanged ? vote : null,
                installedSnapshot,
                List.copyOf(entries),
                commitIndex,
                List.copyOf(messages),
                committed,
                List.copyOf(events));
        voteChanged = false;
        installedSnapshot = null;
        entries.clear();
        messages.clear();
        events.clear();
        return ready;
    }
}

package org.bankturn.agreement;

import java.util.List;

/**
 * The pending work after a step, to be carried out in this order: persist, send, apply.
 *
 * <p>The vote, the snapshot and the entries must be synced before any message is sent.
 *
 * @param vote the vote to persist, null if unchanged
 * @param installed the snapshot that replaces the whole log, null if none
 * @param entries the entries to persist; the first one truncates the persisted log from its index on, not null
 * @param commitIndex the commit index to persist with the entries; an outdated value is safe
 * @param messages the messages to send after the sync, not null
 * @param committed the committed entries to apply, in order, not null
 * @param events the decisions about the membership to report, in order, not null
 */
public record Ready(
        Vote vote,
        Snapshot installed,
        List<LogEntry> entries,
        long commitIndex,
        List<Outbound> messages,
        List<LogEntry> committed,
        List<MembershipEvent> events) {
    /** A message and its recipient. */
    public record Outbound(Member to, RaftMessage message) {}

    /** Returns true if state must be synced before the messages are sent. */
    public boolean mustSync() {
        return vote != null || installed != null || !entries.isEmpty();
    }

    /** Returns true if there is nothing to do. */
    public boolean isEmpty() {
        return !mustSync() && messages.isEmpty() && committed.isEmpty() && events.isEmpty();
    }
}

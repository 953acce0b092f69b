package org.bankturn.agreement;

import java.util.List;

/**
 * What a member's storage holds when it starts.
 *
 * @param vote the vote, not null
 * @param snapshot the snapshot, not null
 * @param entries the entries after the snapshot, in order, not null
 * @param commitIndex the index up to which they were known to be committed; the snapshot's or more
 */
public record PersistentState(Vote vote, Snapshot snapshot, List<LogEntry> entries, long commitIndex) {}

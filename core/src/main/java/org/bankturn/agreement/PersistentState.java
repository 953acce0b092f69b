package org.bankturn.agreement;

import java.util.List;

/**
 * The state that a member recovers from storage.
 *
 * @param vote the vote, not null
 * @param snapshot the snapshot, not null
 * @param entries the entries after the snapshot, in order, not null
 * @param commitIndex the persisted commit index, not less than the snapshot's index
 */
public record PersistentState(Vote vote, Snapshot snapshot, List<LogEntry> entries, long commitIndex) {}

package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * The log of one member in memory: a snapshot and the entries after it.
 *
 * <p>RaftLog is mutable and not thread-safe.
 */
final class RaftLog {
    private Snapshot snapshot;
    private final List<LogEntry> entries = new ArrayList<>();

    RaftLog(Snapshot snapshot, List<LogEntry> entries) {
        this.snapshot = snapshot;
        this.entries.addAll(entries);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long lastIndex() {
        return snapshot.index() + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    boolean contains(long index) {
        return index > snapshot.index() && index <= lastIndex();
    }

    LogEntry entryAt(long index) {
        return entries.get((int) (index - snapshot.index() - 1));
    }

    /** Returns true if this log knows the entry at an index, and it is of that term. */
    boolean matches(long index, long term) {
        return (index == snapshot.index() || contains(index)) && termAt(index) == term;
    }

    /** Returns the term at an index, or -1 if the index is beyond the log or under the snapshot. */
    long termAt(long index) {
        if (index == snapshot.index()) {
            return snapshot.term();
        }
        return contains(index) ? entryAt(index).term() : -1;
    }

    List<LogEntry> entriesBetween(long firstIndex, long lastIndex) {
        List<LogEntry> found = new ArrayList<>();
        for (long index = firstIndex; index <= Math.min(lastIndex, lastIndex()); index++) {
            found.add(entryAt(index));
        }
        return found;
    }

    List<Member> membersAt(long index) {
        for (long at = Math.min(index, lastIndex()); at > snapshot.index(); at--) {
            if (entryAt(at).changesMembers()) {
                return entryAt(at).members();
            }
        }
        return snapshot.members();
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException("entry " + entry.index() + " does not follow " + lastIndex());
        }
        entries.add(entry);
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - snapshot.index() - 1), entries.size()).clear();
    }

    void compactTo(Snapshot newer) {
        long dropped = Math.min(newer.index() - snapshot.index(), entries.size());
        entries.subList(0, (int) dropped).clear();
        snapshot = newer;
    }

    void resetTo(Snapshot newer) {
        entries.clear();
        snapshot = newer;
    }
}

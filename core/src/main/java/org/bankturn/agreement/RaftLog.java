package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * The in-memory log of one member: a snapshot and the entries after it.
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

    /** Returns true if the log or its snapshot has an entry with this index and term. */
    boolean matches(long index, long term) {
        return (index == snapshot.index() || contains(index)) && termAt(index) == term;
    }

    /** Returns the term at an index, or -1 if the index is after the log or before the snapshot. */
    long termAt(long index) {
        if (index == snapshot.index()) {
            return snapshot.term();
        }
        return contains(index) ? entryAt(index).term() : -1;
    }

    /** Returns the entries in a range, both ends inclusive, up to the end of the log. */
    List<LogEntry> entriesBetween(long firstIndex, long lastIndex) {
        List<LogEntry> result = new ArrayList<>();
        for (long index = firstIndex; index <= Math.min(lastIndex, lastIndex()); index++) {
            result.add(entryAt(index));
        }
        return result;
    }

    /** Returns the size of the entries in a range, both ends inclusive, as far as the log contains them. */
    long bytesBetween(long firstIndex, long lastIndex) {
        long bytes = 0;
        for (long index = Math.max(firstIndex, snapshot.index() + 1);
                index <= Math.min(lastIndex, lastIndex());
                index++) {
            bytes += entryAt(index).sizeBytes();
        }
        return bytes;
    }

    /** Returns the membership in effect at an index. */
    List<Member> membersAt(long index) {
        for (long position = Math.min(index, lastIndex()); position > snapshot.index(); position--) {
            if (entryAt(position).changesMembers()) {
                return entryAt(position).members();
            }
        }
        return snapshot.members();
    }

    /** Returns the membership before its latest change, the current one if the log does not contain a change. */
    List<Member> membersBeforeLatestChange() {
        for (long position = lastIndex(); position > snapshot.index(); position--) {
            if (entryAt(position).changesMembers()) {
                return membersAt(position - 1);
            }
        }
        return snapshot.members();
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalArgumentException(
                    "entry index " + entry.index() + " does not follow last index " + lastIndex());
        }
        entries.add(entry);
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - snapshot.index() - 1), entries.size()).clear();
    }

    void compactTo(Snapshot replacement) {
        long dropped = Math.min(replacement.index() - snapshot.index(), entries.size());
        entries.subList(0, (int) dropped).clear();
        snapshot = replacement;
    }

    void resetTo(Snapshot replacement) {
        entries.clear();
        snapshot = replacement;
    }
}

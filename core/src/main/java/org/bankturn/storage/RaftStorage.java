package org.bankturn.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Optional;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.PersistentState;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Snapshot;
import org.bankturn.agreement.Vote;
import org.bankturn.codec.MessagePackCodec;

/**
 * Persists the vote, snapshot and log of one Raft member.
 *
 * <p>The {@code identity} file holds the incarnation, {@code snapshot} the latest snapshot, and {@code log} the votes
 * and entries in the order they were stored. The log is rewritten when a snapshot is stored. An entry truncates the log
 * from its index on. The commit index is only written along with votes and entries, so it may be outdated. The storage
 * must not be used after a failed write or sync.
 *
 * <p>RaftStorage is mutable and not thread-safe.
 */
public final class RaftStorage {
    private static final String IDENTITY = "identity";
    private static final String SNAPSHOT = "snapshot";
    private static final String LOG = "log";

    /** A record of a rewritten log ends with the entry that reaches this size. */
    private static final int REWRITTEN_RECORD_BYTES = 64 << 10;

    private final StorageDirectory directory;
    private Vote vote = Vote.NONE;
    private Snapshot snapshot;
    private final List<LogEntry> entries = new ArrayList<>();
    private long commitIndex;

    /**
     * A record of the log file. It contains everything stored in one step, so that the step is atomic.
     *
     * @param vote the vote, null if unchanged
     * @param entries the entries, not null
     * @param commitIndex the commit index, 0 in files written by releases that did not store it
     */
    private record LogRecord(Vote vote, List<LogEntry> entries, long commitIndex) {}

    /**
     * Reads the incarnation of a storage directory.
     *
     * @param directory the directory, not null
     * @return the incarnation, empty if the directory is not initialized
     * @throws IOException if the file cannot be read
     */
    public static Optional<Long> readIncarnation(StorageDirectory directory) throws IOException {
        return directory.read(IDENTITY).map(bytes -> ByteBuffer.wrap(bytes).getLong());
    }

    /**
     * Initializes an empty storage directory.
     *
     * @param directory the directory, not null
     * @param incarnation the incarnation to write
     * @param snapshot the snapshot at the start of the log, not null
     * @return the storage, not null
     * @throws IOException if a write or sync fails
     */
    public static RaftStorage create(StorageDirectory directory, long incarnation, Snapshot snapshot)
            throws IOException {
        RaftStorage storage = new RaftStorage(directory, snapshot);
        storage.writeSnapshot();
        storage.rewriteLog();
        directory.replace(
                IDENTITY, ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array());
        return storage;
    }

    /**
     * Recovers the state in a storage directory, which is durable when this method returns. An incomplete record at the end
     * of the log is removed.
     *
     * @param directory the directory, not null
     * @return the storage, not null
     * @throws CorruptLogException if a synced record is corrupt
     * @throws IOException if the directory cannot be read or written
     */
    public static RaftStorage recover(StorageDirectory directory) throws IOException {
        RaftStorage storage = new RaftStorage(directory, readSnapshot(directory));
        Optional<StoredFile> log = directory.open(LOG);
        if (log.isPresent()) {
            boolean whole = storage.replayAll(log.get());
            storage.makeDurable(whole);
        }
        return storage;
    }

    private static Snapshot readSnapshot(StorageDirectory directory) throws IOException {
        List<Snapshot> snapshots = new ArrayList<>();
        try (StoredFile file = directory.open(SNAPSHOT).orElseThrow(() -> new CorruptLogException(SNAPSHOT, 0))) {
            RecordFile.read(
                    SNAPSHOT,
                    file,
                    payload -> snapshots.add(MessagePackCodec.instance().decode(payload, Snapshot.class)));
        }
        if (snapshots.size() != 1) {
            throw new CorruptLogException(SNAPSHOT, 0);
        }
        return snapshots.get(0);
    }

    /** Replays and closes a log; returns false if it ends in an incomplete record. */
    private boolean replayAll(StoredFile log) throws IOException {
        try (log) {
            long wholeBytes = RecordFile.read(
                    LOG, log, payload -> replay(MessagePackCodec.instance().decode(payload, LogRecord.class)));
            return wholeBytes == log.size();
        }
    }

    /** A killed process may have written what it never synced; nothing may be answered on the basis of that. */
    private void makeDurable(boolean logIsWhole) throws IOException {
        directory.sync(SNAPSHOT);
        if (logIsWhole) {
            directory.sync(LOG);
        } else {
            rewriteLog();
        }
    }

    private RaftStorage(StorageDirectory directory, Snapshot snapshot) {
        this.directory = directory;
        this.snapshot = snapshot;
        this.commitIndex = snapshot.index();
    }

    /** Returns the stored state, not null. */
    public PersistentState stored() {
        return new PersistentState(vote, snapshot, List.copyOf(entries), commitIndex);
    }

    /**
     * Writes and syncs the state of a step; it is durable when this method returns.
     *
     * @param ready the result of the step, not null
     * @throws IOException if a write or sync fails; the process must then stop
     */
    public void store(Ready ready) throws IOException {
        if (ready.installed() != null) {
            storeSnapshot(ready.installed(), true);
        }
        if (ready.vote() != null || !ready.entries().isEmpty()) {
            LogRecord record = new LogRecord(ready.vote(), ready.entries(), ready.commitIndex());
            replay(record);
            directory.append(LOG, encode(record));
            directory.sync(LOG);
        }
    }

    /**
     * Stores a snapshot of applied state and removes the entries that it includes.
     *
     * @param replacement the snapshot, not null
     * @throws IOException if a write or sync fails; the process must then stop
     */
    public void compact(Snapshot replacement) throws IOException {
        storeSnapshot(replacement, false);
    }

    private void storeSnapshot(Snapshot replacement, boolean replacesLog) throws IOException {
        snapshot = replacement;
        commitIndex = Math.max(commitIndex, replacement.index());
        entries.removeIf(entry -> replacesLog || entry.index() <= replacement.index());
        writeSnapshot();
        rewriteLog();
    }

    private void replay(LogRecord record) {
        if (record.vote() != null) {
            vote = record.vote();
        }
        for (LogEntry entry : record.entries()) {
            while (!entries.isEmpty() && entries.get(entries.size() - 1).index() >= entry.index()) {
                entries.remove(entries.size() - 1);
            }
            if (entry.index() > snapshot.index()) {
                entries.add(entry);
            }
        }
        commitIndex = Math.max(commitIndex, record.commitIndex());
    }

    private void writeSnapshot() throws IOException {
        byte[] payload = MessagePackCodec.instance().encode(snapshot);
        directory.replace(SNAPSHOT, List.of(RecordFile.header(payload), payload).iterator());
    }

    private void rewriteLog() throws IOException {
        directory.replace(LOG, new RewrittenLog());
    }

    private static byte[] encode(LogRecord record) {
        return RecordFile.encode(MessagePackCodec.instance().encode(record));
    }

    /** The records of the rewritten log, each encoded when it is written, so that the log is never held twice. */
    private final class RewrittenLog implements Iterator<byte[]> {
        private int next;
        private boolean voteWritten;

        @Override
        public boolean hasNext() {
            return !voteWritten || next < entries.size();
        }

        @Override
        public byte[] next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            int first = next;
            long bytes = 0;
            while (next < entries.size() && bytes < REWRITTEN_RECORD_BYTES) {
                bytes += entries.get(next).sizeBytes();
                next++;
            }
            Vote unwrittenVote = voteWritten ? null : vote;
            voteWritten = true;
            return encode(new LogRecord(unwrittenVote, List.copyOf(entries.subList(first, next)), commitIndex));
        }
    }
}

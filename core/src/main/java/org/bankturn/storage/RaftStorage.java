package org.bankturn.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.PersistentState;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Snapshot;
import org.bankturn.agreement.Vote;
import org.bankturn.codec.MessagePackCodec;

/**
 * Keeps one member's vote, snapshot and log on a storage device.
 *
 * <p>Three files: {@code identity} says which life of the disk this is, {@code snapshot} holds the newest snapshot, and
 * {@code log} holds votes and entries in the order they came, rewritten whenever a snapshot is stored. An entry cuts off
 * whatever the log held from its index on. The commit index is stored along with them and never synced for itself, so it
 * lags by the entries that were on their way then. After any failed write or sync this object must not be used again.
 *
 * <p>RaftStorage is mutable and not thread-safe.
 */
public final class RaftStorage {
    private static final String IDENTITY = "identity";
    private static final String SNAPSHOT = "snapshot";
    private static final String LOG = "log";

    private final StorageDirectory device;
    private Vote vote = Vote.NONE;
    private Snapshot snapshot;
    private final List<LogEntry> entries = new ArrayList<>();
    private long commitIndex;

    /**
     * One record of the log file: all that one step stored, so that a crash leaves it whole or torn, never in part.
     *
     * @param vote the vote, null if the step left it as it was
     * @param entries the entries, not null
     * @param commitIndex the index up to which entries were known to be committed; 0 in files of earlier releases
     */
    private record LogRecord(Vote vote, List<LogEntry> entries, long commitIndex) {}

    /**
     * Reads the life of the disk that a device carries.
     *
     * @param device the device, not null
     * @return the incarnation, empty if the disk was never used or was lost
     * @throws IOException if it cannot be read
     */
    public static Optional<Long> readIncarnation(StorageDirectory device) throws IOException {
        return device.read(IDENTITY).map(bytes -> ByteBuffer.wrap(bytes).getLong());
    }

    /**
     * Prepares an empty device.
     *
     * @param device the device, not null
     * @param incarnation the life of the disk that begins
     * @param snapshot what the log starts from, not null
     * @return the storage, not null
     * @throws IOException if it cannot be written
     */
    public static RaftStorage create(StorageDirectory device, long incarnation, Snapshot snapshot) throws IOException {
        RaftStorage storage = new RaftStorage(device, snapshot);
        storage.writeSnapshot();
        storage.rewriteLog();
        device.replace(
                IDENTITY, ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array());
        return storage;
    }

    /**
     * Recovers what a device holds; a torn tail is cut off.
     *
     * @param device the device, not null
     * @return the storage, not null
     * @throws CorruptLogException if a synced record was damaged
     * @throws IOException if the device cannot be read or written
     */
    public static RaftStorage recover(StorageDirectory device) throws IOException {
        byte[] snapshotFile = device.read(SNAPSHOT).orElseThrow(() -> new CorruptLogException(SNAPSHOT, 0));
        List<byte[]> records = RecordFile.decode(SNAPSHOT, snapshotFile).payloads();
        if (records.size() != 1) {
            throw new CorruptLogException(SNAPSHOT, 0);
        }
        Snapshot snapshot = MessagePackCodec.instance().decode(records.get(0), Snapshot.class);
        RaftStorage storage = new RaftStorage(device, snapshot);
        byte[] logFile = device.read(LOG).orElse(new byte[0]);
        RecordFile.Content content = RecordFile.decode(LOG, logFile);
        for (byte[] payload : content.payloads()) {
            storage.replay(MessagePackCodec.instance().decode(payload, LogRecord.class));
        }
        if (content.wholeBytes() < logFile.length) {
            storage.rewriteLog();
        }
        return storage;
    }

    private RaftStorage(StorageDirectory device, Snapshot snapshot) {
        this.device = device;
        this.snapshot = snapshot;
        this.commitIndex = snapshot.index();
    }

    /** Returns what a member starts from, not null. */
    public PersistentState stored() {
        return new PersistentState(vote, snapshot, List.copyOf(entries), commitIndex);
    }

    /**
     * Stores what a step asks for and syncs it; on return it lasts.
     *
     * @param ready the step's result, not null
     * @throws IOException if a write or sync failed; the process must then stop
     */
    public void store(Ready ready) throws IOException {
        if (ready.installed() != null) {
            storeSnapshot(ready.installed(), true);
        }
        if (ready.vote() != null || !ready.entries().isEmpty()) {
            LogRecord step = new LogRecord(ready.vote(), ready.entries(), ready.commitIndex());
            replay(step);
            device.append(LOG, encode(step));
            device.sync(LOG);
        }
    }

    /**
     * Stores a snapshot of applied state and drops the entries that it includes.
     *
     * @param newer the snapshot, not null
     * @throws IOException if a write or sync failed; the process must then stop
     */
    public void compact(Snapshot newer) throws IOException {
        storeSnapshot(newer, false);
    }

    private void storeSnapshot(Snapshot newer, boolean replacesLog) throws IOException {
        snapshot = newer;
        commitIndex = Math.max(commitIndex, newer.index());
        entries.removeIf(entry -> replacesLog || entry.index() <= newer.index());
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
        device.replace(SNAPSHOT, RecordFile.encode(payload));
    }

    private void rewriteLog() throws IOException {
        device.replace(LOG, encode(new LogRecord(vote, List.copyOf(entries), commitIndex)));
    }

    private static byte[] encode(LogRecord record) {
        return RecordFile.encode(MessagePackCodec.instance().encode(record));
    }
}

package org.bankturn.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.PersistentState;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Snapshot;
import org.bankturn.agreement.Vote;
import org.bankturn.codec.MessagePackCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RaftStorageTest {
    private static final Member SELF = new Member("a", 1, "127.0.0.1:1");
    private static final int CHANGES = 12;

    @TempDir
    Path tempDir;

    /** Stores entries and a snapshot; returns the number of entries stored before a failure. */
    private static int fill(StorageDirectory directory) {
        int stored = 0;
        try {
            RaftStorage storage = RaftStorage.create(directory, 5, Snapshot.initial(List.of(SELF)));
            for (int index = 1; index <= CHANGES; index++) {
                storage.store(ready(index));
                stored = index;
                if (index == CHANGES / 2) {
                    storage.compact(new Snapshot(index, 1, List.of(SELF), new byte[] {7}));
                }
            }
        } catch (IOException e) {
            return stored;
        }
        return stored;
    }

    private static Ready ready(long index) {
        LogEntry entry = new LogEntry(index, 1, new byte[] {(byte) index}, null);
        return new Ready(new Vote(1, SELF), null, List.of(entry), index - 1, List.of(), List.of(), List.of());
    }

    @Test
    void stored_entries_survive_a_crash_at_any_operation() throws IOException {
        for (int operations = 0; operations < 3 * CHANGES; operations++) {
            for (int torn : new int[] {0, 1, 9, 1_000}) {
                CrashingDirectory directory = new CrashingDirectory(operations, torn);
                int stored = fill(directory);
                CrashingDirectory restarted = directory.afterCrash();
                if (RaftStorage.readIncarnation(restarted).isEmpty()) {
                    assertThat(stored).isZero();
                    continue;
                }
                PersistentState recovered = RaftStorage.recover(restarted).stored();
                long last = recovered.snapshot().index() + recovered.entries().size();
                assertThat(last).as("crash after %d operations", operations).isBetween((long) stored, stored + 1L);
                assertThat(recovered.commitIndex()).isBetween((long) Math.max(0, stored - 1), Math.max(0, last));
                assertThat(recovered.entries()).allMatch(entry -> entry.command()[0] == entry.index());
            }
        }
    }

    @Test
    void corruption_before_the_last_record_is_detected() {
        CrashingDirectory intact = new CrashingDirectory(Integer.MAX_VALUE, 0);
        fill(intact);
        int lastRecord = 60;
        for (int position = 0; position < intact.sizeOf("log") - 2 * lastRecord; position++) {
            CrashingDirectory corrupted = new CrashingDirectory(Integer.MAX_VALUE, 0);
            fill(corrupted);
            corrupted.corrupt("log", position);
            assertThatThrownBy(() -> RaftStorage.recover(corrupted))
                    .as("byte %d", position)
                    .isInstanceOf(CorruptLogException.class)
                    .hasMessageContaining("4003");
        }
    }

    @Test
    void ten_thousand_entries_are_recovered_from_the_file_system() throws IOException {
        FileSystemDirectory directory = FileSystemDirectory.open(tempDir);
        RaftStorage storage = RaftStorage.create(directory, 5, Snapshot.initial(List.of(SELF)));
        List<LogEntry> many = LongStream.rangeClosed(1, 10_000)
                .mapToObj(index -> new LogEntry(index, 1, new byte[64], null))
                .toList();
        storage.store(new Ready(null, null, many, 9_995, List.of(), List.of(), List.of()));
        storage.compact(new Snapshot(9_990, 1, List.of(SELF), new byte[1_000]));
        storage.store(ready(10_001));
        directory.close();
        FileSystemDirectory reopened = FileSystemDirectory.open(tempDir);
        PersistentState recovered = RaftStorage.recover(reopened).stored();
        assertThat(recovered.snapshot().index()).isEqualTo(9_990);
        assertThat(recovered.entries()).hasSize(11);
        assertThat(recovered.commitIndex()).isEqualTo(10_000);
        assertThat(RaftStorage.readIncarnation(reopened)).contains(5L);
        reopened.close();
    }

    /** The log record format before the commit index was added. */
    private record LogRecordWithoutCommitIndex(Vote vote, List<LogEntry> entries) {}

    @Test
    void log_without_commit_index_is_recovered() throws IOException {
        CrashingDirectory directory = new CrashingDirectory(Integer.MAX_VALUE, 0);
        fill(directory);
        LogRecordWithoutCommitIndex former = new LogRecordWithoutCommitIndex(
                new Vote(1, SELF), List.of(new LogEntry(CHANGES / 2 + 1, 1, new byte[] {1}, null)));
        directory.replace("log", RecordFile.encode(MessagePackCodec.instance().encode(former)));
        PersistentState recovered = RaftStorage.recover(directory.afterCrash()).stored();
        assertThat(recovered.entries()).hasSize(1);
        assertThat(recovered.commitIndex()).isEqualTo(CHANGES / 2);
    }

    @Test
    void new_entry_truncates_the_log_from_its_index() throws IOException {
        CrashingDirectory directory = new CrashingDirectory(Integer.MAX_VALUE, 0);
        fill(directory);
        RaftStorage storage = RaftStorage.recover(directory);
        storage.store(ready(CHANGES - 1));
        List<LogEntry> entries =
                RaftStorage.recover(directory.afterCrash()).stored().entries();
        assertThat(entries.get(entries.size() - 1).index()).isEqualTo(CHANGES - 1);
    }

    /** Guards against an entry that is acknowledged after a restart and lost in a power failure, as it was never synced. */
    @Test
    void entry_recovered_after_a_kill_before_its_sync_survives_a_loss_of_power() throws IOException {
        CrashingDirectory directory = new CrashingDirectory(Integer.MAX_VALUE, 0);
        fill(directory);
        RaftStorage storage = RaftStorage.recover(directory);
        directory.stopAfter(1, 0);
        assertThatThrownBy(() -> storage.store(ready(CHANGES + 1))).isInstanceOf(IOException.class);
        CrashingDirectory restarted = directory.afterKill();
        PersistentState recovered = RaftStorage.recover(restarted).stored();
        assertThat(lastIndex(recovered)).isEqualTo(CHANGES + 1);
        assertThat(RaftStorage.recover(restarted.afterCrash()).stored())
                .usingRecursiveComparison()
                .isEqualTo(recovered);
    }

    /** Guards against the end of a member's thread by zeros that a loss of power left where a record was being written. */
    @Test
    void zeros_at_the_end_of_the_log_are_a_torn_record() throws IOException {
        for (int zeros : new int[] {1, 7, 8, 9, 16, 100, 100_000}) {
            CrashingDirectory directory = new CrashingDirectory(Integer.MAX_VALUE, 0);
            fill(directory);
            int wholeBytes = directory.sizeOf("log");
            directory.appendZeros("log", zeros);
            assertThat(lastIndex(RaftStorage.recover(directory).stored()))
                    .as("%d zeros", zeros)
                    .isEqualTo(CHANGES);
            assertThat(directory.sizeOf("log")).isLessThanOrEqualTo(wholeBytes);
        }
    }

    /** Guards against the loss of entries after zeros, which are corruption and not a torn end. */
    @Test
    void zeros_between_records_are_detected() throws IOException {
        for (int zeros : new int[] {8, 16, 100}) {
            CrashingDirectory directory = new CrashingDirectory(Integer.MAX_VALUE, 0);
            fill(directory);
            RaftStorage storage = RaftStorage.recover(directory);
            directory.appendZeros("log", zeros);
            storage.store(ready(CHANGES + 1));
            assertThatThrownBy(() -> RaftStorage.recover(directory))
                    .as("%d zeros", zeros)
                    .isInstanceOf(CorruptLogException.class);
        }
    }

    private static long lastIndex(PersistentState state) {
        return state.snapshot().index() + state.entries().size();
    }
}

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
    Path folder;

    /** Stores entries, with a snapshot half way; returns how many stores had returned. */
    private static int fill(StorageDirectory device) {
        int stored = 0;
        try {
            RaftStorage storage = RaftStorage.create(device, 5, Snapshot.initial(List.of(SELF)));
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
        return new Ready(new Vote(1, SELF), null, List.of(entry), index - 1, List.of(), List.of());
    }

    @Test
    void nothing_stored_is_missing_after_a_stop_at_any_operation() throws IOException {
        for (int operations = 0; operations < 3 * CHANGES; operations++) {
            for (int torn : new int[] {0, 1, 9, 1_000}) {
                CrashingDirectory device = new CrashingDirectory(operations, torn);
                int stored = fill(device);
                CrashingDirectory found = device.afterCrash();
                if (RaftStorage.readIncarnation(found).isEmpty()) {
                    assertThat(stored).isZero();
                    continue;
                }
                PersistentState recovered = RaftStorage.recover(found).stored();
                long last = recovered.snapshot().index() + recovered.entries().size();
                assertThat(last).as("stopped after %d", operations).isBetween((long) stored, stored + 1L);
                assertThat(recovered.commitIndex()).isBetween((long) Math.max(0, stored - 1), Math.max(0, last));
                assertThat(recovered.entries()).allMatch(entry -> entry.command()[0] == entry.index());
            }
        }
    }

    @Test
    void damage_in_the_middle_is_refused_and_never_read_as_a_torn_tail() {
        CrashingDirectory whole = new CrashingDirectory(Integer.MAX_VALUE, 0);
        fill(whole);
        int lastRecord = 60;
        for (int position = 0; position < whole.sizeOf("log") - 2 * lastRecord; position++) {
            CrashingDirectory damaged = new CrashingDirectory(Integer.MAX_VALUE, 0);
            fill(damaged);
            damaged.corrupt("log", position);
            assertThatThrownBy(() -> RaftStorage.recover(damaged))
                    .as("byte %d", position)
                    .isInstanceOf(CorruptLogException.class)
                    .hasMessageContaining("4003");
        }
    }

    @Test
    void ten_thousand_changes_are_recovered_from_a_real_folder_without_loss() throws IOException {
        FileSystemDirectory device = FileSystemDirectory.open(folder);
        RaftStorage storage = RaftStorage.create(device, 5, Snapshot.initial(List.of(SELF)));
        List<LogEntry> many = LongStream.rangeClosed(1, 10_000)
                .mapToObj(index -> new LogEntry(index, 1, new byte[64], null))
                .toList();
        storage.store(new Ready(null, null, many, 9_995, List.of(), List.of()));
        storage.compact(new Snapshot(9_990, 1, List.of(SELF), new byte[1_000]));
        storage.store(ready(10_001));
        device.close();
        FileSystemDirectory reopened = FileSystemDirectory.open(folder);
        PersistentState recovered = RaftStorage.recover(reopened).stored();
        assertThat(recovered.snapshot().index()).isEqualTo(9_990);
        assertThat(recovered.entries()).hasSize(11);
        assertThat(recovered.commitIndex()).isEqualTo(10_000);
        assertThat(RaftStorage.readIncarnation(reopened)).contains(5L);
        reopened.close();
    }

    /** What one step stored in releases that did not keep the commit index. */
    private record FormerLogRecord(Vote vote, List<LogEntry> entries) {}

    @Test
    void a_log_of_a_release_that_kept_no_commit_index_is_recovered_whole() throws IOException {
        CrashingDirectory device = new CrashingDirectory(Integer.MAX_VALUE, 0);
        fill(device);
        FormerLogRecord former =
                new FormerLogRecord(new Vote(1, SELF), List.of(new LogEntry(CHANGES / 2 + 1, 1, new byte[] {1}, null)));
        device.replace("log", RecordFile.encode(MessagePackCodec.instance().encode(former)));
        PersistentState recovered = RaftStorage.recover(device.afterCrash()).stored();
        assertThat(recovered.entries()).hasSize(1);
        assertThat(recovered.commitIndex()).isEqualTo(CHANGES / 2);
    }

    @Test
    void a_newer_entry_cuts_off_what_stood_from_its_index_on() throws IOException {
        CrashingDirectory device = new CrashingDirectory(Integer.MAX_VALUE, 0);
        fill(device);
        RaftStorage storage = RaftStorage.recover(device);
        storage.store(ready(CHANGES - 1));
        List<LogEntry> entries =
                RaftStorage.recover(device.afterCrash()).stored().entries();
        assertThat(entries.get(entries.size() - 1).index()).isEqualTo(CHANGES - 1);
    }
}

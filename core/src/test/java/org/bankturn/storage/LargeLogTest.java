package org.bankturn.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Random;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LargeLogTest {
    private static final Member SELF = new Member("a", 1, "127.0.0.1:1");

    /** With the entries below, the same share of the heap as 512 entries of 0.15 MB of 160 MB. */
    private static final String HEAP = "-Xmx64m";

    private static final int ENTRIES = 512;
    private static final int ENTRY_BYTES = 60_000;

    @TempDir
    Path tempDir;

    /** Guards against a control process that ends with OutOfMemoryError at every start. */
    @Test
    void process_does_not_run_out_of_memory_while_it_reads_back_a_log_of_half_its_heap() throws Exception {
        fillLog();
        assertThat(readInSmallHeap()).isEqualTo(ENTRIES + "\n");
    }

    /** Guards against the same end while the log is rewritten without the record that was cut. */
    @Test
    void process_does_not_run_out_of_memory_while_it_rewrites_a_log_with_a_torn_end() throws Exception {
        fillLog();
        Path log = tempDir.resolve("log");
        byte[] tornRecord = new byte[1_000];
        tornRecord[0] = 1;
        Files.write(log, tornRecord, StandardOpenOption.APPEND);
        long size = Files.size(log);
        assertThat(readInSmallHeap()).isEqualTo(ENTRIES + "\n");
        assertThat(Files.size(log)).isLessThan(size);
        assertThat(readInSmallHeap()).isEqualTo(ENTRIES + "\n");
    }

    /** Guards against corruption that is taken for a torn end where the file is searched part by part. */
    @Test
    void corrupt_length_is_detected_wherever_the_next_record_begins() throws IOException {
        for (int payloadBytes = (64 << 10) - 20; payloadBytes < (64 << 10) + 20; payloadBytes++) {
            byte[] payload = new byte[payloadBytes];
            byte[] corruptRecord = RecordFile.encode(payload);
            ByteBuffer.wrap(corruptRecord).putInt(0, Integer.MAX_VALUE);
            byte[] lastRecord = RecordFile.encode(new byte[] {1, 2, 3});
            Path file = tempDir.resolve("records");
            Files.write(file, corruptRecord);
            Files.write(file, lastRecord, StandardOpenOption.APPEND);
            try (FileSystemDirectory directory = FileSystemDirectory.open(tempDir);
                    StoredFile stored = directory.open("records").orElseThrow()) {
                assertThatThrownBy(() -> RecordFile.read("records", stored, received -> {}))
                        .as("payload of %d bytes", payloadBytes)
                        .isInstanceOf(CorruptLogException.class);
            }
        }
    }

    private void fillLog() throws IOException {
        Random random = new Random(1);
        try (FileSystemDirectory directory = FileSystemDirectory.open(tempDir)) {
            RaftStorage storage = RaftStorage.create(directory, 1, Snapshot.initial(List.of(SELF)));
            for (int index = 1; index <= ENTRIES; index++) {
                byte[] command = new byte[ENTRY_BYTES];
                random.nextBytes(command);
                LogEntry entry = new LogEntry(index, 1, command, null);
                storage.store(new Ready(null, null, List.of(entry), index - 1, List.of(), List.of(), List.of()));
            }
        }
    }

    private String readInSmallHeap() throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        HEAP,
                        "-XX:+UseSerialGC",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        System.getProperty("java.class.path"),
                        LogReader.class.getName(),
                        tempDir.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return output;
    }
}

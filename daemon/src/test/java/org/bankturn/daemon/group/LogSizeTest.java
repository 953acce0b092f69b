package org.bankturn.daemon.group;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.RaftNode;
import org.bankturn.agreement.RaftSettings;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Snapshot;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.daemon.group.GroupMember.Outcome;
import org.bankturn.daemon.member.ReplicatedStateMachine;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;
import org.bankturn.storage.FileSystemDirectory;
import org.bankturn.storage.RaftStorage;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogSizeTest {
    private static final Member SELF = new Member("a", 1, "127.0.0.1:1");

    /** A configuration of 10,500 routes, deflated. */
    private static final int DOCUMENT_BYTES = 230_000;

    private static final int CHANGES = 100;

    /** A 32nd of the heap of a control process, 160 MB. */
    private static final long LARGEST_LOG_BYTES = 5_000_000;

    private static final int WAIT_SECONDS = 60;

    @TempDir
    Path folder;

    private final Clock clock = Clock.system();
    private final Random random = new Random(1);
    private DecisionLog log;
    private GroupMember member;

    @BeforeEach
    void startLog() {
        log = DecisionLog.startTo(OutputStream.nullOutputStream(), "test", clock);
    }

    @AfterEach
    void stop() {
        member.stop();
    }

    /** Guards against a log whose size is bounded by the number of its entries alone. */
    @Test
    void log_does_not_grow_with_the_size_of_its_entries() throws Exception {
        start();
        for (int version = 1; version <= CHANGES; version++) {
            put(version);
            assertThat(Files.size(folder.resolve("log"))).isLessThan(LARGEST_LOG_BYTES);
        }
    }

    /** Guards against a log of an earlier release that is too large to be read back again and again. */
    @Test
    void log_that_is_too_large_does_not_outlive_its_recovery() throws Exception {
        try (FileSystemDirectory directory = FileSystemDirectory.open(folder)) {
            RaftStorage storage = RaftStorage.create(directory, 1, Snapshot.initial(List.of(SELF)));
            for (int index = 1; index <= CHANGES; index++) {
                byte[] command = MessagePackCodec.instance().encode(nextDocument(index));
                LogEntry entry = new LogEntry(index, 1, command, null);
                storage.store(new Ready(null, null, List.of(entry), index - 1, List.of(), List.of(), List.of()));
            }
        }
        assertThat(Files.size(folder.resolve("log"))).isGreaterThan(LARGEST_LOG_BYTES);
        start();
        assertThat(member.query(PublicationState::documentVersion).get(WAIT_SECONDS, TimeUnit.SECONDS))
                .isGreaterThanOrEqualTo(CHANGES - 1);
        assertThat(Files.size(folder.resolve("log"))).isLessThan(LARGEST_LOG_BYTES);
    }

    private void start() {
        member = GroupMember.of(
                new GroupMember.Wiring(this::recover, (to, message) -> {}, List::of, state -> {}, raftNode -> {}, log),
                clock);
        member.start();
    }

    private ReplicatedStateMachine.Recovered recover() throws IOException {
        FileSystemDirectory directory = FileSystemDirectory.open(folder);
        Optional<Long> incarnation = RaftStorage.readIncarnation(directory);
        RaftStorage storage = incarnation.isPresent()
                ? RaftStorage.recover(directory)
                : RaftStorage.create(directory, 1, Snapshot.initial(List.of(SELF)));
        RaftNode raftNode = RaftNode.recover(
                SELF,
                storage.stored(),
                RaftSettings.DEFAULT,
                clock,
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                joining -> true);
        return new ReplicatedStateMachine.Recovered(raftNode, storage);
    }

    /** Submits a change until the member leads and commits it. */
    private void put(long version) throws Exception {
        long deadline = clock.millis() + TimeUnit.SECONDS.toMillis(WAIT_SECONDS);
        Outcome outcome;
        do {
            outcome = member.submit(nextDocument(version)).get(WAIT_SECONDS, TimeUnit.SECONDS);
        } while (outcome == Outcome.NOT_LEADER && clock.millis() < deadline);
        assertThat(outcome).isEqualTo(Outcome.COMMITTED);
    }

    private PublicationCommand nextDocument(long version) {
        byte[] deflated = new byte[DOCUMENT_BYTES];
        random.nextBytes(deflated);
        return new PublicationCommand.PutDocument(version, deflated);
    }
}

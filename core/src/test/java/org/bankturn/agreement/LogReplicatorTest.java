package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.agreement.RaftMessage.AppendReply;
import org.bankturn.agreement.RaftMessage.AppendRequest;
import org.bankturn.agreement.RaftMessage.SnapshotRequest;
import org.bankturn.agreement.RaftMessage.VoteReply;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a leader sends to a member that lacks entries. */
class LogReplicatorTest {
    private static final int MAX_BYTES_UNDER_WAY = 100_000;
    private static final RaftSettings SETTINGS = new RaftSettings(500, 100, 64, 3, MAX_BYTES_UNDER_WAY);
    private static final Member SELF = new Member("a", 1, "a");
    private static final Member FOLLOWER = new Member("b", 1, "b");
    private static final Member BEHIND = new Member("c", 1, "c");
    private static final int SMALL_BYTES = 10;
    private static final int LARGE_BYTES = 30_000;
    private static final int SNAPSHOT_BYTES = 4_000_000;

    private final ManualClock clock = ManualClock.startingAt(0);
    private final RaftNode leader = RaftNode.recover(
            SELF,
            new PersistentState(Vote.NONE, Snapshot.initial(List.of(SELF, FOLLOWER, BEHIND)), List.of(), 0),
            SETTINGS,
            clock,
            RandomSource.XO_RO_SHI_RO_128_PP.create(1),
            joiner -> true);

    @BeforeEach
    void elect() {
        clock.advance(10 * SETTINGS.electionTimeoutMillis());
        leader.tick();
        leader.receive(new VoteReply(FOLLOWER, leader.term() + 1, true, true));
        leader.receive(new VoteReply(FOLLOWER, leader.term(), false, true));
        assertThat(leader.role()).isEqualTo(Role.LEADER);
    }

    /** Guards against messages that fill the memory of the leader, and links for seconds. */
    @Test
    void entries_sent_and_not_acknowledged_are_bounded_in_bytes() {
        proposeAll(20, LARGE_BYTES);
        List<AppendRequest> sent = new ArrayList<>(toBehind());
        for (int heartbeat = 0; heartbeat < 2; heartbeat++) {
            clock.advance(SETTINGS.heartbeatMillis());
            acknowledge(FOLLOWER);
            leader.tick();
            sent.addAll(toBehind());
        }
        assertThat(bytesOf(sent)).isPositive().isLessThanOrEqualTo(MAX_BYTES_UNDER_WAY);
    }

    /** Guards against a batch that is sent again for each message that was rejected before the batch arrived. */
    @Test
    void rejections_on_the_way_do_not_repeat_entries() {
        proposeAll(8, LARGE_BYTES);
        toBehind();
        for (int rejection = 0; rejection < 5; rejection++) {
            leader.receive(new AppendReply(BEHIND, leader.term(), false, 0));
        }
        assertThat(bytesOf(toBehind())).isLessThanOrEqualTo(MAX_BYTES_UNDER_WAY);
    }

    @Test
    void entry_above_the_bound_is_sent_alone() {
        acknowledgeAll(BEHIND);
        proposeAll(1, 5 * MAX_BYTES_UNDER_WAY);
        proposeAll(1, SMALL_BYTES);
        assertThat(toBehind())
                .filteredOn(request -> !request.entries().isEmpty())
                .singleElement()
                .satisfies(request -> assertThat(request.entries()).hasSize(1));
        acknowledgeAll(BEHIND);
        assertThat(toBehind())
                .singleElement()
                .satisfies(request -> assertThat(request.entries()).hasSize(1));
    }

    /** Guards against a member on a slow link that counts as silent, or elects another leader, while entries arrive. */
    @Test
    void heartbeats_are_sent_while_entries_are_under_way() {
        acknowledgeAll(BEHIND);
        proposeAll(20, LARGE_BYTES);
        toBehind();
        clock.advance(SETTINGS.heartbeatMillis());
        leader.tick();
        assertThat(toBehind())
                .singleElement()
                .satisfies(request -> assertThat(request.entries()).isEmpty());
    }

    @Test
    void lost_entries_are_sent_again() {
        acknowledgeAll(BEHIND);
        proposeAll(3, SMALL_BYTES);
        List<Long> first = indexesOf(toBehind());
        clock.advance(3 * SETTINGS.heartbeatMillis());
        acknowledge(FOLLOWER);
        leader.tick();
        assertThat(indexesOf(toBehind())).isEqualTo(first).hasSize(3);
    }

    @Test
    void acknowledged_entries_make_room_for_the_next_ones() {
        acknowledgeAll(BEHIND);
        proposeAll(10, LARGE_BYTES);
        List<Long> indexes = new ArrayList<>(indexesOf(toBehind()));
        while (indexes.get(indexes.size() - 1) < leader.lastIndex()) {
            leader.receive(new AppendReply(BEHIND, leader.term(), true, indexes.get(indexes.size() - 1)));
            indexes.addAll(indexesOf(toBehind()));
        }
        assertThat(indexes).hasSize(10).doesNotHaveDuplicates();
    }

    /** Guards against a member that waits for a lost snapshot although it has acknowledged the snapshot. */
    @Test
    void next_snapshot_is_sent_at_once_when_the_log_was_compacted_while_the_last_one_was_under_way() {
        compactAll();
        leader.receive(new AppendReply(BEHIND, leader.term(), false, 0));
        assertThat(snapshotsToBehind()).hasSize(1);
        long first = leader.snapshot().index();
        compactAll();
        leader.receive(new AppendReply(BEHIND, leader.term(), true, 0));
        assertThat(snapshotsToBehind()).isEmpty();
        leader.receive(new AppendReply(BEHIND, leader.term(), true, first));
        assertThat(snapshotsToBehind())
                .singleElement()
                .satisfies(snapshot -> assertThat(snapshot.index()).isGreaterThan(first));
    }

    private void compactAll() {
        proposeAll(3, SMALL_BYTES);
        leader.receive(new AppendReply(FOLLOWER, leader.term(), true, leader.lastIndex()));
        leader.ready();
        leader.compact(leader.commitIndex(), new byte[SNAPSHOT_BYTES]);
    }

    private List<Snapshot> snapshotsToBehind() {
        return leader.ready().messages().stream()
                .filter(outbound -> outbound.to().equals(BEHIND))
                .map(Ready.Outbound::message)
                .filter(SnapshotRequest.class::isInstance)
                .map(message -> ((SnapshotRequest) message).snapshot())
                .toList();
    }

    private void proposeAll(int count, int bytes) {
        for (int entry = 0; entry < count; entry++) {
            leader.propose(new byte[bytes]);
        }
    }

    private void acknowledge(Member member) {
        leader.receive(new AppendReply(member, leader.term(), true, 1));
    }

    private void acknowledgeAll(Member member) {
        leader.receive(new AppendReply(member, leader.term(), true, lastSentTo(member)));
    }

    private long lastSentTo(Member member) {
        return leader.ready().messages().stream()
                .filter(outbound -> outbound.to().equals(member))
                .map(Ready.Outbound::message)
                .filter(AppendRequest.class::isInstance)
                .map(AppendRequest.class::cast)
                .mapToLong(
                        request -> request.previousIndex() + request.entries().size())
                .max()
                .orElse(leader.lastIndex() - 1);
    }

    private List<AppendRequest> toBehind() {
        return leader.ready().messages().stream()
                .filter(outbound -> outbound.to().equals(BEHIND))
                .map(Ready.Outbound::message)
                .filter(AppendRequest.class::isInstance)
                .map(AppendRequest.class::cast)
                .toList();
    }

    private static List<Long> indexesOf(List<AppendRequest> requests) {
        return requests.stream()
                .flatMap(request -> request.entries().stream())
                .map(LogEntry::index)
                .toList();
    }

    private static long bytesOf(List<AppendRequest> requests) {
        return requests.stream()
                .flatMap(request -> request.entries().stream())
                .mapToLong(entry -> entry.command().length)
                .sum();
    }
}

package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class RaftNodeTest {
    private static final Member LEADER = new Member("b", 1, "b");
    private static final List<Member> MEMBERS = List.of(new Member("a", 1, "a"), LEADER, new Member("c", 1, "c"));

    @Property(tries = 150, seed = "20261202")
    void committed_entries_survive_random_faults(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        InMemoryCluster cluster = new InMemoryCluster(seed, "a", "b", "c");
        List<String> boxes = List.of("a", "b", "c");
        boolean diskLost = false;
        for (int step = 0; step < 1_500; step++) {
            int choice = cluster.random.nextInt(100);
            String box = boxes.get(cluster.random.nextInt(boxes.size()));
            if (choice < 15) {
                cluster.tickAll();
            } else if (choice < 22) {
                cluster.propose(cluster.running.get(box), "command-" + step);
            } else if (choice < 24) {
                cluster.restart(box);
            } else if (choice < 25) {
                cluster.compact(box);
            } else if (choice < 26 && !diskLost && step > 300) {
                diskLost = true;
                cluster.startWithEmptyDisk(box);
            } else {
                cluster.deliverRandom(true);
            }
        }
        cluster.runRounds(150);
        assertThat(cluster.leader().members()).hasSize(3);
        long before = cluster.leader().commitIndex();
        cluster.propose(cluster.leader(), "last");
        cluster.runRounds(5);
        assertThat(cluster.leader().commitIndex()).isGreaterThan(before);
    }

    @Test
    void group_survives_second_disk_loss_after_replacing_the_first() {
        InMemoryCluster cluster = new InMemoryCluster(7, "a", "b", "c");
        cluster.runRounds(60);
        cluster.propose(cluster.leader(), "kept");
        cluster.runRounds(5);
        long index = cluster.leader().commitIndex();
        cluster.startWithEmptyDisk("a");
        cluster.runRounds(100);
        assertThat(cluster.leader().members()).extracting(Member::incarnation).contains(2L);
        cluster.startWithEmptyDisk("b");
        cluster.runRounds(100);
        assertThat(cluster.leader().members()).extracting(Member::incarnation).contains(2L, 3L);
        assertThat(cluster.leader().commitIndex()).isGreaterThan(index);
        assertThat(cluster.committed.get(index).command()).asString().isEqualTo("kept");
    }

    @Test
    void paused_leader_steps_down_without_committing() {
        InMemoryCluster cluster = new InMemoryCluster(3, "a", "b", "c");
        cluster.runRounds(60);
        RaftNode oldLeader = cluster.leader();
        RaftNode other = cluster.running.values().stream()
                .filter(member -> member != oldLeader)
                .findFirst()
                .orElseThrow();
        long before = cluster.committed.size();
        cluster.clock.advance(10 * InMemoryCluster.SETTINGS.electionTimeoutMillis());
        oldLeader.propose("woken".getBytes(StandardCharsets.UTF_8));
        oldLeader.tick();
        assertThat(oldLeader.role()).isEqualTo(Role.FOLLOWER);
        assertThat(cluster.committed).hasSize((int) before);
        assertThat(other.role()).isEqualTo(Role.FOLLOWER);
    }

    @Test
    void box_with_empty_disk_does_not_start_election_before_admission() {
        InMemoryCluster cluster = new InMemoryCluster(5, "a", "b", "c");
        cluster.runRounds(60);
        cluster.startWithEmptyDisk("c");
        RaftNode empty = cluster.running.get("c");
        cluster.clock.advance(10 * InMemoryCluster.SETTINGS.electionTimeoutMillis());
        empty.tick();
        assertThat(empty.role()).isEqualTo(Role.FOLLOWER);
        assertThat(empty.members()).isEmpty();
    }

    @Test
    void leadership_transfer_elects_new_leader_immediately() {
        InMemoryCluster cluster = new InMemoryCluster(9, "a", "b", "c");
        cluster.runRounds(60);
        RaftNode oldLeader = cluster.leader();
        long term = oldLeader.term();
        oldLeader.transferLeadership();
        cluster.runRounds(3);
        assertThat(cluster.leader().self()).isNotEqualTo(oldLeader.self());
        assertThat(cluster.leader().term()).isEqualTo(term + 1);
    }

    /** Guards against a box that lost its disk, hears from the leader and still asks only the boxes of its settings. */
    @Test
    void box_with_empty_disk_asks_the_leader_that_it_hears_from_to_join() {
        Member gone = new Member("gone", 0, "gone");
        RaftNode empty = RaftNode.recover(
                new Member("a", 2, "a"),
                new PersistentState(Vote.NONE, Snapshot.initial(List.of()), List.of(), 0),
                InMemoryCluster.SETTINGS,
                ManualClock.startingAt(0),
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                joiner -> true);
        empty.receive(new RaftMessage.AppendRequest(LEADER, 3, 10, 3, List.of(), 10));
        empty.ready();
        empty.requestJoin(List.of(gone));
        assertThat(empty.ready().messages()).extracting(Ready.Outbound::to).containsExactly(gone, LEADER);
        empty.requestJoin(List.of(LEADER));
        assertThat(empty.ready().messages()).extracting(Ready.Outbound::to).containsExactly(LEADER);
    }

    /** A delayed snapshot truncated acknowledged entries (simulation seed 4964). */
    @Test
    void delayed_snapshot_does_not_truncate_later_entries() {
        RaftNode follower = followerWithEntries(5);
        follower.receive(new RaftMessage.SnapshotRequest(LEADER, 1, new Snapshot(3, 1, MEMBERS, new byte[0])));
        assertThat(follower.lastIndex()).isEqualTo(5);
        assertThat(follower.commitIndex()).isEqualTo(3);
        assertThat(follower.ready().installed()).isNull();
    }

    /** Terms unknown to both members compared as equal (simulation seed 56808). */
    @Test
    void append_after_entry_missing_on_both_members_is_rejected() {
        RaftNode follower = followerWithEntries(5);
        follower.receive(new RaftMessage.AppendRequest(LEADER, 1, 22, -1, List.of(), 0));
        assertThat(follower.ready().messages())
                .extracting(Ready.Outbound::message)
                .singleElement()
                .isInstanceOfSatisfying(
                        RaftMessage.AppendReply.class,
                        reply -> assertThat(reply.accepted()).isFalse());
    }

    @Test
    void restarted_member_delivers_known_committed_entries_without_leader() {
        RaftNode member = followerWithEntries(5, 3);
        assertThat(member.ready().committed()).extracting(LogEntry::index).containsExactly(1L, 2L, 3L);
        assertThat(member.commitIndex()).isEqualTo(3);
    }

    @Test
    void member_lacking_committed_entries_is_not_up_to_date() {
        RaftNode member = followerWithEntries(2, 2);
        long before = member.lastUpToDateMillis();
        member.receive(new RaftMessage.AppendRequest(LEADER, 1, 10, 1, List.of(), 10));
        assertThat(member.lastUpToDateMillis()).isEqualTo(before);
        LogEntry third = new LogEntry(3, 1, new byte[] {1}, null);
        member.receive(new RaftMessage.AppendRequest(LEADER, 1, 2, 1, List.of(third), 10));
        assertThat(member.lastUpToDateMillis()).isEqualTo(before);
        member.receive(new RaftMessage.AppendRequest(LEADER, 1, 3, 1, List.of(), 3));
        assertThat(member.lastUpToDateMillis()).isZero();
    }

    @Test
    void recovered_commit_index_is_limited_to_the_log() {
        assertThat(followerWithEntries(5, 9).commitIndex()).isEqualTo(5);
    }

    @Test
    void delayed_rejection_does_not_advance_next_index() {
        FollowerProgress progress = new FollowerProgress(5, 0);
        progress.rewindTo(23);
        assertThat(progress.nextIndex()).isEqualTo(5);
        progress.rewindTo(2);
        assertThat(progress.nextIndex()).isEqualTo(2);
    }

    private static RaftNode followerWithEntries(int count) {
        return followerWithEntries(count, 0);
    }

    private static RaftNode followerWithEntries(int count, long commitIndex) {
        List<LogEntry> entries = LongStream.rangeClosed(1, count)
                .mapToObj(index -> new LogEntry(index, 1, new byte[] {1}, null))
                .toList();
        return RaftNode.recover(
                MEMBERS.get(0),
                new PersistentState(new Vote(1, LEADER), Snapshot.initial(MEMBERS), entries, commitIndex),
                InMemoryCluster.SETTINGS,
                ManualClock.startingAt(0),
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                joiner -> true);
    }
}

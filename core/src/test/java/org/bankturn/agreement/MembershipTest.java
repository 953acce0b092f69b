package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests automatic replacement, removal and re-admission of members. */
class MembershipTest {
    private static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4, 3);
    private static final int ROUNDS = 400;

    @Test
    void new_box_replaces_failed_member() {
        InMemoryCluster cluster = newCluster(1);
        cluster.stop("c");
        cluster.startWithEmptyDisk("d");
        cluster.runRounds(ROUNDS);
        assertThat(boxesOf(cluster)).containsExactlyInAnyOrder("a", "b", "d");
        cluster.stop(cluster.leader().self().box());
        cluster.runRounds(ROUNDS);
        assertThat(cluster.leader().isEstablishedLeader()).isTrue();
    }

    @Test
    void failed_fourth_member_is_removed_so_that_another_may_fail() {
        InMemoryCluster cluster = newCluster(2);
        cluster.startWithEmptyDisk("d");
        cluster.runRounds(ROUNDS);
        assertThat(boxesOf(cluster)).containsExactlyInAnyOrder("a", "b", "c", "d");
        cluster.stop(followerOf(cluster));
        cluster.runRounds(ROUNDS);
        assertThat(boxesOf(cluster)).hasSize(3);
        cluster.stop(followerOf(cluster));
        cluster.runRounds(ROUNDS);
        cluster.propose(cluster.leader(), "still accepted");
        cluster.runRounds(ROUNDS);
        assertThat(isCommitted(cluster, "still accepted")).isTrue();
    }

    @Test
    void member_removed_while_down_is_readmitted_with_its_disk() {
        InMemoryCluster cluster = newCluster(3);
        cluster.startWithEmptyDisk("d");
        cluster.runRounds(ROUNDS);
        String silent = followerOf(cluster);
        Member rejoining = cluster.running.get(silent).self();
        cluster.stop(silent);
        cluster.runRounds(ROUNDS);
        assertThat(boxesOf(cluster)).doesNotContain(silent);
        cluster.startStopped(rejoining);
        cluster.runRounds(ROUNDS);
        assertThat(boxesOf(cluster)).contains(silent).hasSize(4);
    }

    @Test
    void group_of_minimum_size_keeps_unresponsive_member() {
        InMemoryCluster cluster = newCluster(4);
        cluster.stop(followerOf(cluster));
        cluster.runRounds(ROUNDS);
        assertThat(boxesOf(cluster)).containsExactlyInAnyOrder("a", "b", "c");
    }

    /** Guards against an empty box that never becomes a member because none of the boxes it knows leads. */
    @Test
    void empty_box_joins_through_a_member_that_does_not_lead() {
        InMemoryCluster cluster = newCluster(6);
        cluster.startWithEmptyDisk("d", List.of(followerOf(cluster)));
        cluster.runRounds(ROUNDS);
        assertThat(boxesOf(cluster)).containsExactlyInAnyOrder("a", "b", "c", "d");
    }

    /** Guards against join requests that members pass on to each other again and again. */
    @Test
    void join_request_is_passed_on_at_most_once() {
        InMemoryCluster cluster = newCluster(8);
        RaftNode follower = cluster.running.get(followerOf(cluster));
        Member joining = new Member("d", 9, "d");
        follower.receive(new RaftMessage.JoinRequest(joining, 0));
        Ready ready = follower.ready();
        assertThat(ready.messages()).singleElement().satisfies(outbound -> {
            assertThat(outbound.to()).isEqualTo(cluster.leader().self());
            assertThat(outbound.message()).isEqualTo(new RaftMessage.JoinRequest(joining, follower.term()));
        });
        follower.receive(ready.messages().get(0).message());
        assertThat(follower.ready().messages()).isEmpty();
    }

    /** Guards against acknowledged entries being on no more disks than may be lost. */
    @Test
    void nothing_is_acknowledged_on_as_few_disks_as_may_be_lost() {
        RaftSettings settings = new RaftSettings(100, 20, 4, RaftSettings.minMembersFor(2));
        InMemoryCluster cluster = new InMemoryCluster(settings, 5, "a", "b", "c");
        cluster.startWithEmptyDisk("d");
        cluster.startWithEmptyDisk("e");
        cluster.runRounds(ROUNDS);
        assertThat(boxesOf(cluster)).hasSize(5);
        List<Member> down = new ArrayList<>();
        for (int member = 0; member < 3; member++) {
            String box = followerOf(cluster);
            down.add(cluster.running.get(box).self());
            cluster.stop(box);
            cluster.runRounds(ROUNDS);
        }
        List<String> remaining = List.copyOf(cluster.running.keySet());
        remaining.forEach(box -> cluster.propose(cluster.running.get(box), "kept"));
        cluster.runRounds(ROUNDS);
        assertThat(isCommitted(cluster, "kept")).isFalse();
        remaining.forEach(box -> cluster.startWithEmptyDisk(box, List.of("a", "b", "c", "d", "e")));
        down.forEach(cluster::startStopped);
        cluster.runRounds(ROUNDS);
        cluster.propose(cluster.leader(), "later");
        cluster.runRounds(ROUNDS);
        assertThat(isCommitted(cluster, "later")).isTrue();
        assertThat(boxesOf(cluster)).containsExactlyInAnyOrder("a", "b", "c", "d", "e");
    }

    private static boolean isCommitted(InMemoryCluster cluster, String command) {
        return cluster.committed.values().stream()
                .anyMatch(entry -> new String(entry.command(), StandardCharsets.UTF_8).equals(command));
    }

    private static InMemoryCluster newCluster(long seed) {
        InMemoryCluster cluster = new InMemoryCluster(SETTINGS, seed, "a", "b", "c");
        cluster.runRounds(ROUNDS);
        return cluster;
    }

    private static List<String> boxesOf(InMemoryCluster cluster) {
        return cluster.leader().members().stream().map(Member::box).toList();
    }

    private static String followerOf(InMemoryCluster cluster) {
        String leader = cluster.leader().self().box();
        return cluster.running.keySet().stream()
                .filter(box -> !box.equals(leader))
                .findFirst()
                .orElseThrow();
    }
}

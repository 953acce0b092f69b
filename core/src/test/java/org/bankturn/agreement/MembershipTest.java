package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Members that are replaced, dropped and taken back, without an operator's list. */
class MembershipTest {
    private static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4, 3);
    private static final int ROUNDS = 400;

    @Test
    void an_empty_box_at_a_new_address_takes_the_place_of_a_dead_member() {
        InMemoryCluster group = formed(1);
        group.stop("c");
        group.startWithEmptyDisk("d");
        group.runRounds(ROUNDS);
        assertThat(boxesOf(group)).containsExactlyInAnyOrder("a", "b", "d");
        group.stop(group.leader().self().box());
        group.runRounds(ROUNDS);
        assertThat(group.leader().isEstablishedLeader()).isTrue();
    }

    @Test
    void a_fourth_member_that_died_is_dropped_so_that_one_more_may_be_lost() {
        InMemoryCluster group = formed(2);
        group.startWithEmptyDisk("d");
        group.runRounds(ROUNDS);
        assertThat(boxesOf(group)).containsExactlyInAnyOrder("a", "b", "c", "d");
        group.stop(followerOf(group));
        group.runRounds(ROUNDS);
        assertThat(boxesOf(group)).hasSize(3);
        group.stop(followerOf(group));
        group.runRounds(ROUNDS);
        group.propose(group.leader(), "still accepted");
        group.runRounds(ROUNDS);
        assertThat(group.committed.values())
                .anyMatch(entry ->
                        new String(entry.command(), java.nio.charset.StandardCharsets.UTF_8).equals("still accepted"));
    }

    @Test
    void a_member_that_was_dropped_while_silent_is_taken_back_with_its_disk() {
        InMemoryCluster group = formed(3);
        group.startWithEmptyDisk("d");
        group.runRounds(ROUNDS);
        String silent = followerOf(group);
        Member kept = group.running.get(silent).self();
        group.stop(silent);
        group.runRounds(ROUNDS);
        assertThat(boxesOf(group)).doesNotContain(silent);
        group.startStopped(kept);
        group.runRounds(ROUNDS);
        assertThat(boxesOf(group)).contains(silent).hasSize(4);
    }

    @Test
    void a_group_of_three_keeps_a_silent_member() {
        InMemoryCluster group = formed(4);
        group.stop(followerOf(group));
        group.runRounds(ROUNDS);
        assertThat(boxesOf(group)).containsExactlyInAnyOrder("a", "b", "c");
    }

    private static InMemoryCluster formed(long seed) {
        InMemoryCluster group = new InMemoryCluster(SETTINGS, seed, "a", "b", "c");
        group.runRounds(ROUNDS);
        return group;
    }

    private static List<String> boxesOf(InMemoryCluster group) {
        return group.leader().members().stream().map(Member::box).toList();
    }

    private static String followerOf(InMemoryCluster group) {
        String leader = group.leader().self().box();
        return group.running.keySet().stream()
                .filter(box -> !box.equals(leader))
                .findFirst()
                .orElseThrow();
    }
}

package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a box that lost its disk is a member again within its time to catch up, however long it copies the log. */
class MemberReplacementTest {
    private static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4, RaftSettings.minMembersFor(1));

    /** The time to catch up in steps of ten milliseconds: eight election timeouts, as on the platform. */
    private static final int CATCH_UP_STEPS = 80;

    /** The time that a box is down in steps of ten milliseconds: three election timeouts. */
    private static final int DOWN_STEPS = 30;

    /** More changes than the slow link carries messages. */
    private static final int CHANGES_PER_STEP = 3;

    private static final int SETTLE_ROUNDS = 400;

    private final InMemoryCluster cluster = new InMemoryCluster(SETTINGS, 1, "a", "b", "c");
    private String wiped;
    private String other;

    @BeforeEach
    void form_a_group_with_a_long_log() {
        cluster.runRounds(SETTLE_ROUNDS);
        RaftNode leader = cluster.leader();
        wiped = followerOf(leader, "");
        other = followerOf(leader, wiped);
        for (int change = 0; change < 100; change++) {
            cluster.propose(leader, "before " + change);
        }
        cluster.runRounds(SETTLE_ROUNDS);
        cluster.stop(wiped);
        cluster.startWithEmptyDisk(wiped);
    }

    /** Guards against a box without a disk whose former member is removed and that is not admitted. */
    @Test
    void group_bears_the_next_lost_disk_after_a_replacement_under_changes() {
        runUntilFormerMemberIsRemoved();
        changeWhileLinkIsSlow();
        loseDiskOfOther();
        assertNothingAcknowledgedIsLost();
    }

    /** Guards against a box without a disk that cannot copy the log as fast as it grows. */
    @Test
    void group_bears_the_next_lost_disk_while_a_box_still_copies_the_log() {
        changeWhileLinkIsSlow();
        loseDiskOfOther();
        assertNothingAcknowledgedIsLost();
    }

    /** Guards against a replacement that only the leader that began it can complete. */
    @Test
    void next_leader_completes_a_replacement() {
        runUntilFormerMemberIsRemoved();
        cluster.deliverWithSlowLinkTo(wiped);
        cluster.transferLeadership();
        changeWhileLinkIsSlow();
        loseDiskOfOther();
        assertNothingAcknowledgedIsLost();
    }

    private void runUntilFormerMemberIsRemoved() {
        for (int step = 0; step < SETTLE_ROUNDS && cluster.leader().members().size() > 2; step++) {
            cluster.tickAll();
            while (!cluster.inFlight.isEmpty() && cluster.leader().members().size() > 2) {
                cluster.deliverOldest();
            }
        }
        assertThat(cluster.leader().members()).hasSize(2);
    }

    private void changeWhileLinkIsSlow() {
        runWithSlowLink(CATCH_UP_STEPS, CHANGES_PER_STEP);
    }

    private void loseDiskOfOther() {
        cluster.stop(other);
        runWithSlowLink(DOWN_STEPS, 0);
        cluster.startWithEmptyDisk(other);
        cluster.runRounds(SETTLE_ROUNDS);
    }

    private void runWithSlowLink(int steps, int changesPerStep) {
        for (int step = 0; step < steps; step++) {
            for (int change = 0; change < changesPerStep && cluster.hasLeader(); change++) {
                cluster.propose(cluster.leader(), "meanwhile " + step + ", " + change);
            }
            cluster.tickAll();
            cluster.deliverWithSlowLinkTo(wiped);
        }
    }

    private void assertNothingAcknowledgedIsLost() {
        assertThat(cluster.hasLeader()).isTrue();
        RaftNode leader = cluster.leader();
        long last = cluster.committed.keySet().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElseThrow();
        assertThat(leader.commitIndex()).isGreaterThanOrEqualTo(last);
        cluster.propose(leader, "after the losses");
        cluster.runRounds(SETTLE_ROUNDS);
        assertThat(cluster.committed.values())
                .anySatisfy(entry -> assertThat(new String(entry.command(), StandardCharsets.UTF_8))
                        .isEqualTo("after the losses"));
        assertThat(leader.members()).extracting(Member::box).containsExactlyInAnyOrder("a", "b", "c");
    }

    private String followerOf(RaftNode leader, String excluded) {
        return cluster.running.keySet().stream()
                .filter(box -> !box.equals(leader.self().box()) && !box.equals(excluded))
                .findFirst()
                .orElseThrow();
    }
}

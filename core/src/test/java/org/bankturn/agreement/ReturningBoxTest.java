package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that a box without a log is not needed for a majority that the members had without it. */
class ReturningBoxTest {
    private static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4, RaftSettings.minMembersFor(1));
    private static final int SETTLE_ROUNDS = 400;

    /** Fewer than the messages that it takes to copy the log. */
    private static final int COPY_STEPS = 15;

    private final InMemoryCluster cluster = new InMemoryCluster(SETTINGS, 1, "a", "b", "c", "d");

    /** Guards against a group of three that one lost member and one empty box, which comes and goes, leave without a majority. */
    @Test
    void empty_box_that_goes_again_does_not_take_the_majority_of_a_group_that_had_removed_it() {
        cluster.runRounds(SETTLE_ROUNDS);
        for (int change = 0; change < 100; change++) {
            cluster.propose(cluster.leader(), "before " + change);
        }
        cluster.runRounds(SETTLE_ROUNDS);
        String leader = cluster.leader().self().box();
        List<String> others = new ArrayList<>(List.of("a", "b", "c", "d"));
        others.remove(leader);
        String gone = others.get(0);
        cluster.stop(gone);
        cluster.runRounds(SETTLE_ROUNDS);
        assertThat(cluster.leader().members()).hasSize(3);

        cluster.stop(others.get(1));
        cluster.runRounds(SETTLE_ROUNDS);
        long before = cluster.leader().commitIndex();
        cluster.propose(cluster.leader(), "with two of three");
        cluster.runRounds(SETTLE_ROUNDS);
        long last = cluster.leader().commitIndex();
        assertThat(last).isGreaterThan(before);

        cluster.startWithEmptyDisk(gone);
        for (int step = 0; step < COPY_STEPS; step++) {
            cluster.tickAll();
            cluster.deliverWithSlowLinkTo(gone);
        }
        assertThat(cluster.running.get(gone).lastIndex()).isLessThan(last);
        cluster.stop(gone);
        cluster.runRounds(SETTLE_ROUNDS);

        assertThat(cluster.hasLeader()).isTrue();
        cluster.propose(cluster.leader(), "again");
        cluster.runRounds(SETTLE_ROUNDS);
        assertThat(cluster.leader().commitIndex()).isGreaterThan(last);
    }
}

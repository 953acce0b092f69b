package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MembershipChangesTest {
    private static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4, 3);
    private static final long NOW = 10_000;
    private static final long LONG_AGO = NOW - 1_000;

    private final Member self = member("a");
    private final Member alive = member("b");
    private final Member silent = member("c");
    private final Member joiner = member("d");
    private final ProgressTracker replications = new ProgressTracker();
    private final MembershipChanges changes = new MembershipChanges(SETTINGS, replications);

    /** Dropping the silent one first left two members that both had to live. */
    @Test
    void a_new_box_is_admitted_beside_a_silent_member() {
        replications.track(alive, 1, NOW);
        replications.track(silent, 1, LONG_AGO);
        changes.addLearner(joiner, 1, NOW);
        assertThat(changes.nextAdmission(List.of(self, alive, silent), 0))
                .contains(List.of(self, alive, silent, joiner));
    }

    @Test
    void the_silent_member_goes_once_the_group_is_larger() {
        replications.track(alive, 1, NOW);
        replications.track(silent, 1, LONG_AGO);
        replications.track(joiner, 1, NOW);
        assertThat(changes.nextRemoval(List.of(self, alive, silent, joiner), List.of(alive, silent, joiner), NOW))
                .contains(List.of(self, alive, joiner));
    }

    @Test
    void no_member_goes_while_two_are_silent() {
        replications.track(alive, 1, NOW - 150);
        replications.track(silent, 1, LONG_AGO);
        replications.track(joiner, 1, NOW);
        assertThat(changes.nextRemoval(List.of(self, alive, silent, joiner), List.of(alive, silent, joiner), NOW))
                .isEmpty();
    }

    @Test
    void a_box_that_lost_its_disk_takes_the_place_of_the_member_it_was() {
        Member newLife = new Member("c", 2, "c");
        changes.addLearner(newLife, 1, NOW);
        assertThat(changes.nextAdmission(List.of(self, alive, silent), 0)).contains(List.of(self, alive));
        assertThat(changes.nextAdmission(List.of(self, alive), 0)).contains(List.of(self, alive, newLife));
    }

    private static Member member(String box) {
        return new Member(box, 1, box);
    }
}

package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class InterruptedRequestsTest {
    private static final RequestFingerprint ONE = new RequestFingerprint(1, 1);
    private static final RequestFingerprint OTHER = new RequestFingerprint(2, 2);
    private static final TargetSighting TARGET = target("t1", "a:1");

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final InterruptedRequests runs = InterruptedRequests.of(clock);

    @Test
    void requests_are_given_out_once_when_their_target_has_ended() {
        runs.recordInterruption(TARGET, ONE);
        runs.recordInterruption(TARGET, OTHER);
        assertThat(runs.recordCrash("t1")).containsExactly(ONE, OTHER);
        assertThat(runs.recordCrash("t1")).isEmpty();
    }

    @Test
    void what_breaks_off_after_the_end_is_known_counts_as_well() {
        runs.recordInterruption(TARGET, ONE);
        runs.recordCrash("t1");
        runs.recordInterruption(TARGET, OTHER);
        assertThat(runs.hasCrashed("t1")).isTrue();
        assertThat(runs.recordCrash("t1")).containsExactly(OTHER);
    }

    @Test
    void a_request_that_ran_whole_meanwhile_is_not_given_out() {
        runs.recordInterruption(TARGET, ONE);
        runs.recordCompletion(List.of(ONE));
        assertThat(runs.recordCrash("t1")).isEmpty();
    }

    @Test
    void another_incarnation_at_the_address_shows_that_the_former_one_ended() {
        runs.recordInterruption(TARGET, ONE);
        assertThat(runs.findReplaced(List.of(TARGET, target("t2", "b:1")))).isEmpty();
        assertThat(runs.findReplaced(List.of(target("t2", "a:1")))).containsExactly("t1");
    }

    @Test
    void a_target_that_lives_on_is_no_longer_undecided_until_something_breaks_off_again() {
        runs.recordInterruption(TARGET, ONE);
        assertThat(runs.findUndecided(ONE)).containsExactly("t1");
        runs.markAlive("t1");
        assertThat(runs.findUndecided(ONE)).isEmpty();
        runs.recordInterruption(TARGET, ONE);
        assertThat(runs.findUndecided(ONE)).containsExactly("t1");
    }

    @Test
    void what_broke_off_long_ago_is_forgotten() {
        runs.recordInterruption(TARGET, ONE);
        clock.advance(30_001);
        assertThat(runs.isEmpty()).isTrue();
        runs.recordInterruption(target("t2", "b:1"), OTHER);
        assertThat(runs.recordCrash("t1")).isEmpty();
    }

    private static TargetSighting target(String id, String address) {
        return new TargetSighting(id, "chat", address, "north", 4, false, 1, 1);
    }
}

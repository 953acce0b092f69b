package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class TrialSchedulerTest {
    private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 1);
    private static final List<String> ENDED = List.of("t1", "t2", "t3");

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final KnownSuspects suspects = KnownSuspects.empty();
    private final TrialScheduler plan = TrialScheduler.of(clock);

    @Test
    void the_first_trial_is_due_some_seconds_after_the_request_was_condemned() {
        learn(new Suspect(REQUEST, ENDED, 0, null, 7));
        clock.advance(4_999);
        learn(new Suspect(REQUEST, ENDED, 0, null, 7));
        assertThat(isDue()).isFalse();
        clock.advance(1);
        assertThat(isDue()).isTrue();
    }

    @Test
    void the_second_trial_is_due_a_minute_after_the_first_and_there_is_no_third() {
        learn(new Suspect(REQUEST, ENDED, 1, "a", 8));
        clock.advance(59_999);
        assertThat(isDue()).isFalse();
        clock.advance(1);
        assertThat(isDue()).isTrue();
        learn(new Suspect(REQUEST, ENDED, 2, "b", 9));
        clock.advance(10_000_000);
        assertThat(isDue()).isFalse();
    }

    @Test
    void what_only_this_gateway_holds_against_a_request_gives_it_no_trial() {
        ENDED.forEach(target -> suspects.recordCrash(target, REQUEST));
        plan.update(Set.of(REQUEST), suspects);
        clock.advance(10_000_000);
        assertThat(isDue()).isFalse();
    }

    private void learn(Suspect suspect) {
        suspects.published(List.of(suspect));
        plan.update(suspects.condemned(), suspects);
    }

    private boolean isDue() {
        return plan.isDue(suspects.findPublished(REQUEST));
    }
}

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
    private final TrialScheduler<RequestFingerprint> scheduler = TrialScheduler.of(clock);

    @Test
    void the_first_trial_is_due_some_seconds_after_the_request_was_condemned() {
        update(new Suspect(REQUEST, ENDED, 0, null, 7));
        clock.advance(4_999);
        update(new Suspect(REQUEST, ENDED, 0, null, 7));
        assertThat(isDue()).isFalse();
        clock.advance(1);
        assertThat(isDue()).isTrue();
    }

    @Test
    void the_second_trial_is_due_a_minute_after_the_first_and_there_is_no_third() {
        update(new Suspect(REQUEST, ENDED, 1, "a", 8));
        clock.advance(59_999);
        assertThat(isDue()).isFalse();
        clock.advance(1);
        assertThat(isDue()).isTrue();
        update(new Suspect(REQUEST, ENDED, 2, "b", 9));
        clock.advance(10_000_000);
        assertThat(isDue()).isFalse();
    }

    @Test
    void a_request_condemned_only_by_this_gateway_has_no_trial() {
        ENDED.forEach(target -> suspects.recordCrash(target, REQUEST));
        scheduler.update(Set.of(REQUEST), suspects::findPublished);
        clock.advance(10_000_000);
        assertThat(isDue()).isFalse();
    }

    private void update(Suspect suspect) {
        suspects.published(List.of(suspect));
        scheduler.update(suspects.condemned(), suspects::findPublished);
    }

    private boolean isDue() {
        return scheduler.isDue(REQUEST, suspects.findPublished(REQUEST));
    }
}

package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class KnownSuspectsTest {
    private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 1);

    private final KnownSuspects suspects = KnownSuspects.empty();

    @Test
    void published_and_observed_crashes_count_together_without_duplicates() {
        suspects.published(List.of(new Suspect(CRASHING, List.of("t1", "t2"), 0, null, 7)));
        suspects.recordCrash("t2", CRASHING);
        assertThat(suspects.condemned()).isEmpty();
        suspects.recordCrash("t3", CRASHING);
        assertThat(suspects.condemned()).containsExactly(CRASHING);
    }

    @Test
    void three_observed_crashes_condemn_without_a_control_group() {
        for (String target : List.of("t1", "t2", "t3")) {
            suspects.recordCrash(target, CRASHING);
        }
        assertThat(suspects.isCondemned(CRASHING)).isTrue();
    }

    @Test
    void a_published_clearing_removes_observed_crashes() {
        suspects.recordCrash("t1", CRASHING);
        suspects.published(List.of(Suspect.cleared(CRASHING, 8)));
        assertThat(suspects.isEmpty()).isTrue();
    }

    @Test
    void a_published_suspect_keeps_observed_crashes_of_other_requests() {
        suspects.recordCrash("t1", CRASHING);
        suspects.published(List.of(new Suspect(new RequestFingerprint(2, 2), List.of("t9"), 0, null, 8)));
        assertThat(suspects.endedTargetsOf(CRASHING)).containsExactly("t1");
    }

    @Test
    void a_request_that_completed_here_is_cleared() {
        suspects.recordCrash("t1", CRASHING);
        suspects.recordCompletion(CRASHING);
        assertThat(suspects.isEmpty()).isTrue();
    }
}

package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class KnownSuspectsTest {
    private static final RequestFingerprint DEADLY = new RequestFingerprint(1, 1);

    private final KnownSuspects suspects = KnownSuspects.empty();

    @Test
    void ends_that_are_published_and_ends_seen_here_count_together_each_once() {
        suspects.published(List.of(new Suspect(DEADLY, List.of("t1", "t2"), 0, null, 7)));
        suspects.recordCrash("t2", DEADLY);
        assertThat(suspects.condemned()).isEmpty();
        suspects.recordCrash("t3", DEADLY);
        assertThat(suspects.condemned()).containsExactly(DEADLY);
    }

    @Test
    void without_a_control_group_three_ends_seen_here_condemn() {
        for (String target : List.of("t1", "t2", "t3")) {
            suspects.recordCrash(target, DEADLY);
        }
        assertThat(suspects.isCondemned(DEADLY)).isTrue();
    }

    @Test
    void what_was_cleared_elsewhere_is_cleared_here() {
        suspects.recordCrash("t1", DEADLY);
        suspects.published(List.of(Suspect.cleared(DEADLY, 8)));
        assertThat(suspects.isEmpty()).isTrue();
    }

    @Test
    void what_another_request_is_blamed_for_changes_nothing_of_what_was_seen_here() {
        suspects.recordCrash("t1", DEADLY);
        suspects.published(List.of(new Suspect(new RequestFingerprint(2, 2), List.of("t9"), 0, null, 8)));
        assertThat(suspects.endedTargetsOf(DEADLY)).containsExactly("t1");
    }

    @Test
    void a_request_that_ran_whole_here_begins_anew() {
        suspects.recordCrash("t1", DEADLY);
        suspects.recordCompletion(DEADLY);
        assertThat(suspects.isEmpty()).isTrue();
    }
}

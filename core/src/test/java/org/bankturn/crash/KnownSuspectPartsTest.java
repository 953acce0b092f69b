package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

/** A gateway must combine what the control group published with what it observed itself. */
class KnownSuspectPartsTest {
    private static final String CRASHING = "bad";
    private static final String SHARED = "shared";
    private static final int VERSION = 1;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final KnownSuspectParts known = KnownSuspectParts.empty(clock);
    private long requests;

    private InterruptedPart interrupted(String part, int depth) {
        return new InterruptedPart(part, depth, List.of(new RequestFingerprint(0, ++requests)), VERSION, 0);
    }

    private List<SuspectPart> publishedWithCrashes(String part, int crashes) {
        SuspectPartTable table = SuspectPartTable.empty();
        for (int crash = 1; crash <= crashes; crash++) {
            table.recordCrash(crash, List.of(interrupted(part, 0)), "t" + crash);
        }
        return table.content();
    }

    @Test
    void published_and_observed_crashes_count_together() {
        known.published(publishedWithCrashes(CRASHING, 3));
        known.recordCrash("t3", List.of(interrupted(CRASHING, 0)));
        known.recordCrash("t4", List.of(interrupted(CRASHING, 0)));
        assertThat(known.condemned()).isEmpty();
        known.recordCrash("t5", List.of(interrupted(CRASHING, 0)));
        assertThat(known.condemned()).containsExactly(CRASHING);
        assertThat(known.findPublished(CRASHING)).isEmpty();
    }

    @Test
    void five_observed_crashes_condemn_a_part_without_a_control_group() {
        for (int target = 1; target <= 5; target++) {
            known.recordCrash("t" + target, List.of(interrupted(SHARED, 0), interrupted(CRASHING, 1)));
        }
        assertThat(known.condemned()).containsExactly(CRASHING);
    }

    /** Guards against a popular part that a gateway refuses although it has just served requests with it. */
    @Test
    void a_part_that_completed_here_before_is_not_condemned_by_crashes_at_the_same_moment() {
        known.recordCompletion(new CompletedPart(SHARED, VERSION, 0), clock.millis());
        known.published(publishedWithCrashes(SHARED, 8));
        assertThat(known.condemned()).isEmpty();
        assertThat(known.unreportedCompletions()).containsExactly(new CompletedPart(SHARED, VERSION, 0));
    }

    @Test
    void a_completed_request_that_was_sent_after_an_observed_crash_disproves_it() {
        for (int target = 1; target <= 5; target++) {
            known.recordCrash("t" + target, List.of(interrupted(CRASHING, 0)));
        }
        known.recordCompletion(new CompletedPart(CRASHING, VERSION, 0), clock.millis() - 1);
        assertThat(known.hasObservations()).isTrue();
        known.recordCompletion(new CompletedPart(CRASHING, VERSION, 0), clock.millis());
        assertThat(known.hasObservations()).isFalse();
        assertThat(known.isEmpty()).isTrue();
    }

    @Test
    void an_observation_that_the_control_group_does_not_publish_is_dropped_after_a_while() {
        for (int target = 1; target <= 5; target++) {
            known.recordCrash("t" + target, List.of(interrupted(CRASHING, 0)));
        }
        clock.advance(5_000);
        known.published(List.of());
        assertThat(known.condemned()).containsExactly(CRASHING);
        clock.advance(1);
        known.published(List.of());
        assertThat(known.condemned()).isEmpty();
    }

    @Test
    void a_completed_part_is_reported_only_while_that_changes_what_is_published() {
        known.recordCompletion(new CompletedPart(SHARED, VERSION, 9), clock.millis());
        known.published(publishedWithCrashes(SHARED, 1));
        assertThat(known.unreportedCompletions()).isEmpty();
        known.published(publishedWithCrashes(SHARED, 2));
        assertThat(known.unreportedCompletions()).hasSize(1);
        SuspectPartTable group = SuspectPartTable.restore(publishedWithCrashes(SHARED, 2));
        known.unreportedCompletions().forEach(each -> group.recordCompletion(10, each));
        known.published(group.content());
        assertThat(known.unreportedCompletions()).isEmpty();
    }

    @Test
    void the_latest_run_on_the_newest_weights_is_remembered_of_a_bounded_number_of_parts() {
        CompletedParts parts = CompletedParts.empty();
        parts.record(new CompletedPart(SHARED, 2, 5));
        parts.record(new CompletedPart(SHARED, 1, 9));
        parts.record(new CompletedPart(SHARED, 2, 4));
        assertThat(parts.find(SHARED)).contains(new CompletedPart(SHARED, 2, 5));
        for (int other = 0; other < CompletedParts.MAX_PARTS; other++) {
            parts.record(new CompletedPart("other" + other, 1, 0));
        }
        assertThat(parts.find(SHARED)).isEmpty();
    }

    @Test
    void parts_of_requests_at_the_same_target_are_reported_once() {
        List<InterruptedRequest> requests = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            requests.add(new InterruptedRequest(
                    new RequestFingerprint(0, number), List.of(SHARED, "own" + number), VERSION, 10 + number));
        }
        List<InterruptedPart> parts = InterruptedRequest.partsOf(requests);
        assertThat(parts).hasSize(7);
        assertThat(parts.get(0).part()).isEqualTo(SHARED);
        assertThat(parts.get(0).requests()).hasSize(4);
        assertThat(parts.get(0).knownIndex()).isEqualTo(15);
    }
}

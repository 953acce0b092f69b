package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A part that crashes targets must be condemned, and the parts that are in flight beside it must not. */
class SuspectPartTableTest {
    private static final String CRASHING = "bad";
    private static final String SHARED = "shared";
    private static final int VERSION = 1;

    private final SuspectPartTable table = SuspectPartTable.empty();
    private long index;
    private long requests;

    /** Records a crash at a new target that runs a new request with the given parts, sent when all before was known. */
    private void crash(String... parts) {
        crash(index, ++requests, parts);
    }

    private void crash(long knownIndex, long request, String... parts) {
        index++;
        List<InterruptedPart> interrupted = new ArrayList<>();
        for (int depth = 0; depth < parts.length; depth++) {
            interrupted.add(interrupted(parts[depth], depth, request, VERSION, knownIndex));
        }
        table.recordCrash(index, interrupted, "t" + index);
        table.recordVerdict(index);
    }

    private static InterruptedPart interrupted(
            String part, int depth, long request, int weightsVersion, long knownIndex) {
        return new InterruptedPart(
                part, depth, List.of(new RequestFingerprint(0, request)), weightsVersion, knownIndex);
    }

    private void complete(String part, int weightsVersion, long knownIndex) {
        table.recordCompletion(++index, new CompletedPart(part, weightsVersion, knownIndex));
        table.recordVerdict(index);
    }

    @Test
    void five_crashes_condemn_a_part_that_never_completed() {
        for (int crashes = 0; crashes < 4; crashes++) {
            crash(CRASHING);
        }
        assertThat(table.condemned()).isEmpty();
        crash(CRASHING);
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    @Test
    void five_crashes_at_the_same_moment_condemn_a_part_that_never_completed() {
        for (int target = 0; target < 5; target++) {
            crash(0, target, CRASHING);
        }
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    @Test
    void a_target_counts_once_however_many_gateways_report_its_crash() {
        InterruptedPart part = interrupted(CRASHING, 0, 1, VERSION, 0);
        for (int report = 1; report <= 8; report++) {
            table.recordCrash(report, List.of(part), "t1");
        }
        assertThat(table.find(CRASHING).orElseThrow().endedTargets()).containsExactly("t1");
        assertThat(table.wouldRecordCrash(part, "t1")).isFalse();
    }

    /** Guards against a first part that is condemned because most requests share it. */
    @Test
    void a_part_that_completed_before_the_crashes_is_not_condemned_beside_the_cause() {
        crash(SHARED, CRASHING);
        complete(SHARED, VERSION, 0);
        for (int crashes = 0; crashes < 9; crashes++) {
            crash(SHARED, CRASHING);
        }
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    @Test
    void of_two_parts_that_never_completed_the_one_further_back_is_condemned() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(SHARED, CRASHING);
        }
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    /** Guards against a wrong choice among parts with equally many crashes that keeps the cause from being condemned. */
    @Test
    void the_cause_is_condemned_by_two_further_crashes_if_a_part_beside_it_was_condemned_first() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(CRASHING, SHARED);
        }
        assertThat(table.condemned()).containsExactly(SHARED);
        crash(CRASHING, "other");
        crash(CRASHING, "another");
        assertThat(table.condemned()).containsExactlyInAnyOrder(CRASHING, SHARED);
        complete(SHARED, VERSION, 0);
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    /** Guards against a harmless part with as many crashes, which takes those of the cause. */
    @Test
    void a_condemned_part_stays_condemned_when_another_one_has_more_crashes() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(SHARED, CRASHING);
        }
        crash(SHARED);
        crash(SHARED);
        crash(SHARED);
        assertThat(table.condemned()).contains(CRASHING);
    }

    /** Guards against crashes that count against a harmless part once they are dropped from those of the cause. */
    @Test
    void further_crashes_of_a_condemned_part_do_not_condemn_a_part_beside_its_first_ones() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(SHARED, CRASHING);
        }
        for (int crashes = 0; crashes < 20; crashes++) {
            crash(CRASHING);
        }
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    @Test
    void two_parts_that_crash_different_targets_are_both_condemned() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(SHARED, CRASHING);
            crash(SHARED, "worse");
        }
        complete(SHARED, VERSION, index);
        assertThat(table.condemned()).containsExactlyInAnyOrder(CRASHING, "worse");
    }

    @Test
    void targets_that_crash_at_the_same_moment_do_not_condemn_a_part_that_completed_before() {
        crash(SHARED);
        complete(SHARED, VERSION, 0);
        for (int wave = 0; wave < 3; wave++) {
            long known = index;
            for (int target = 0; target < 8; target++) {
                crash(known, ++requests, SHARED);
            }
        }
        assertThat(table.condemned()).isEmpty();
    }

    /** Guards against a part that begins to crash targets after requests with it have completed. */
    @Test
    void five_crashes_in_succession_condemn_a_part_that_completed_before() {
        crash(CRASHING);
        complete(CRASHING, VERSION, 0);
        for (int crashes = 0; crashes < 3; crashes++) {
            crash(CRASHING);
        }
        assertThat(table.condemned()).isEmpty();
        crash(CRASHING);
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    @Test
    void a_request_sent_after_the_crashes_disproves_them_and_one_sent_before_does_not() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(CRASHING);
        }
        complete(CRASHING, VERSION, 2);
        assertThat(table.find(CRASHING).orElseThrow().crashes()).hasSize(3);
        complete(CRASHING, VERSION, index);
        assertThat(table.find(CRASHING).orElseThrow().crashes()).isEmpty();
        assertThat(table.isEmpty()).isTrue();
    }

    @Test
    void a_request_that_completed_on_older_weights_proves_nothing_of_newer_ones() {
        crash(CRASHING);
        complete(CRASHING, VERSION - 1, index);
        for (int crashes = 0; crashes < 4; crashes++) {
            crash(0, ++requests, CRASHING);
        }
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    /** Guards against a part that is condemned for a single request that crashes its targets whenever it is repeated. */
    @Test
    void crashes_during_one_repeated_request_do_not_condemn_its_parts() {
        for (int crashes = 0; crashes < 7; crashes++) {
            crash(index, -1, SHARED);
        }
        crash(SHARED);
        assertThat(table.condemned()).isEmpty();
        crash(SHARED);
        assertThat(table.condemned()).containsExactly(SHARED);
    }

    @Test
    void a_crash_that_a_condemned_part_explains_counts_against_no_other_part() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(CRASHING);
        }
        InterruptedPart beside = interrupted(SHARED, 0, 99, VERSION, 0);
        assertThat(table.isAttributed("t3")).isTrue();
        assertThat(table.wouldRecordCrash(beside, "t3")).isFalse();
        assertThat(table.wouldRecordCrash(beside, "other")).isTrue();
    }

    @Test
    void a_trial_is_granted_to_the_first_process_and_there_are_at_most_two() {
        table.takeTrial(++index, CRASHING, 1, "early");
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(CRASHING);
        }
        table.takeTrial(++index, CRASHING, 1, "first");
        table.takeTrial(++index, CRASHING, 1, "late");
        assertThat(table.isTrialOf(CRASHING, "first")).isTrue();
        table.takeTrial(++index, CRASHING, 2, "second");
        table.takeTrial(++index, CRASHING, 3, "third");
        assertThat(table.find(CRASHING).orElseThrow().trials()).isEqualTo(2);
        assertThat(table.isTrialOf(CRASHING, "second")).isTrue();
    }

    @Test
    void a_trial_without_a_target_is_returned_once_and_by_its_process_only() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(CRASHING);
        }
        table.takeTrial(++index, CRASHING, 1, "first");
        table.returnTrial(++index, CRASHING, "other");
        assertThat(table.isTrialAvailable(CRASHING, 1)).isFalse();
        table.returnTrial(++index, CRASHING, "first");
        table.returnTrial(++index, CRASHING, "first");
        assertThat(table.find(CRASHING).orElseThrow().trials()).isZero();
        assertThat(table.isTrialAvailable(CRASHING, 1)).isTrue();
    }

    @Test
    void a_part_that_an_operator_clears_is_condemned_again_by_five_further_crashes() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(CRASHING);
        }
        table.clear(++index, CRASHING);
        assertThat(table.condemned()).isEmpty();
        assertThat(table.changedSince(index - 1)).extracting(SuspectPart::part).containsExactly(CRASHING);
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(CRASHING);
        }
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    /** Guards against a wave of crashes that evicts the part that causes them. */
    @Test
    void forty_crashes_with_many_other_parts_do_not_evict_the_cause() {
        for (int crashes = 0; crashes < 40; crashes++) {
            String[] parts = new String[49];
            for (int other = 0; other < 48; other++) {
                parts[other] = "other" + crashes + "-" + other;
            }
            parts[48] = CRASHING;
            crash(parts);
            assertThat(table.content()).hasSizeLessThanOrEqualTo(SuspectPartTable.MAX_PARTS);
        }
        assertThat(table.condemned()).containsExactly(CRASHING);
    }

    @Test
    void a_restored_table_judges_the_same() {
        for (int crashes = 0; crashes < 5; crashes++) {
            crash(SHARED, CRASHING);
        }
        SuspectPartTable restored = SuspectPartTable.restore(table.content());
        assertThat(restored.condemned()).isEqualTo(table.condemned());
        assertThat(restored.content()).isEqualTo(table.content());
    }
}

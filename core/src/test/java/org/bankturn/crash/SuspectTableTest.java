package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
    private static final RequestFingerprint CRASHING = new RequestFingerprint(1, 1);
    private static final RequestFingerprint HARMLESS = new RequestFingerprint(2, 2);

    private final SuspectTable table = SuspectTable.empty();

    @Test
    void a_target_counts_once_however_often_its_crash_is_recorded() {
        table.recordCrash(1, CRASHING, "t1");
        table.recordCrash(2, CRASHING, "t1");
        assertThat(table.endedTargetsOf(CRASHING)).containsExactly("t1");
        assertThat(table.changedSince(1)).isEmpty();
    }

    @Test
    void three_targets_condemn_a_request_and_no_more_are_recorded() {
        for (int target = 1; target <= 5; target++) {
            table.recordCrash(target, CRASHING, "t" + target);
        }
        assertThat(table.content()).singleElement().satisfies(suspect -> {
            assertThat(suspect.isCondemned()).isTrue();
            assertThat(suspect.endedTargets()).containsExactly("t1", "t2", "t3");
        });
    }

    /** Guards against harmless requests that are condemned one after the other by the same crashed targets. */
    @Test
    void a_crash_counts_only_against_the_condemned_request_among_those_in_flight() {
        table.recordCrash(1, HARMLESS, "t1");
        table.recordCrash(2, HARMLESS, "other");
        List.of("t1", "t2", "t3").forEach(target -> table.recordCrash(3, CRASHING, target));
        table.recordCrash(4, HARMLESS, "t2");
        table.recordCrash(5, HARMLESS, "t3");
        assertThat(table.endedTargetsOf(HARMLESS)).containsExactly("other");
        assertThat(table.wouldRecordCrash(HARMLESS, "t3")).isFalse();
        assertThat(table.changedSince(2)).extracting(Suspect::fingerprint).containsExactly(CRASHING, HARMLESS);
    }

    /** Guards against a crashing request that is never condemned because a harmless one was condemned before it. */
    @Test
    void a_request_beside_a_condemned_one_is_condemned_by_three_further_crashes() {
        List.of("t1", "t2", "t3").forEach(target -> table.recordCrash(1, HARMLESS, target));
        List.of("t1", "t2", "t3", "t4", "t5", "t6").forEach(target -> table.recordCrash(2, CRASHING, target));
        assertThat(table.endedTargetsOf(CRASHING)).containsExactly("t4", "t5", "t6");
    }

    @Test
    void a_completed_request_is_cleared_and_reported_as_changed() {
        table.recordCrash(1, HARMLESS, "t1");
        table.clear(2, HARMLESS);
        assertThat(table.endedTargetsOf(HARMLESS)).isEmpty();
        assertThat(table.changedSince(1)).containsExactly(Suspect.cleared(HARMLESS, 2));
    }

    @Test
    void a_trial_is_granted_to_the_first_process_and_there_are_at_most_two() {
        table.takeTrial(1, CRASHING, 1, "early");
        List.of("t1", "t2", "t3").forEach(target -> table.recordCrash(2, CRASHING, target));
        table.takeTrial(3, CRASHING, 1, "first");
        table.takeTrial(4, CRASHING, 1, "late");
        assertThat(table.find(CRASHING)).map(Suspect::trialBy).contains("first");
        table.takeTrial(5, CRASHING, 2, "second");
        table.takeTrial(6, CRASHING, 3, "third");
        assertThat(table.find(CRASHING)).map(Suspect::trials).contains(Suspect.MAX_TRIALS);
        assertThat(table.find(CRASHING)).map(Suspect::trialBy).contains("second");
    }

    @Test
    void requests_with_the_fewest_crashes_are_evicted_first_and_the_oldest_of_them() {
        table.recordCrash(1, CRASHING, "t1");
        table.recordCrash(2, CRASHING, "t2");
        table.recordCrash(3, HARMLESS, "t1");
        for (int number = 0; number < SuspectTable.MAX_SUSPECTS - 1; number++) {
            table.recordCrash(4 + number, new RequestFingerprint(3, number), "t1");
        }
        assertThat(table.content()).hasSize(SuspectTable.MAX_SUSPECTS);
        assertThat(table.endedTargetsOf(HARMLESS)).isEmpty();
        assertThat(table.endedTargetsOf(CRASHING)).hasSize(2);
    }

    @Test
    void a_restored_table_evicts_the_same_requests() {
        for (int number = 0; number < SuspectTable.MAX_SUSPECTS; number++) {
            table.recordCrash(number, new RequestFingerprint(3, number), "t1");
        }
        SuspectTable restored = SuspectTable.restore(table.content());
        restored.recordCrash(5_000, CRASHING, "t1");
        table.recordCrash(5_000, CRASHING, "t1");
        assertThat(restored.content()).isEqualTo(table.content());
    }
}

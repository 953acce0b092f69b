package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class SuspectTableTest {
    private static final RequestFingerprint DEADLY = new RequestFingerprint(1, 1);
    private static final RequestFingerprint SOUND = new RequestFingerprint(2, 2);

    private final SuspectTable table = SuspectTable.empty();

    @Test
    void a_target_counts_once_however_often_its_end_is_told() {
        table.recordCrash(1, DEADLY, "t1");
        table.recordCrash(2, DEADLY, "t1");
        assertThat(table.endedTargetsOf(DEADLY)).containsExactly("t1");
        assertThat(table.changedSince(1)).isEmpty();
    }

    @Test
    void three_targets_condemn_a_request_and_no_more_are_remembered() {
        for (int target = 1; target <= 5; target++) {
            table.recordCrash(target, DEADLY, "t" + target);
        }
        assertThat(table.content()).singleElement().satisfies(suspect -> {
            assertThat(suspect.isCondemned()).isTrue();
            assertThat(suspect.endedTargets()).containsExactly("t1", "t2", "t3");
        });
    }

    @Test
    void a_request_that_ran_to_its_end_begins_anew_and_followers_hear_of_it() {
        table.recordCrash(1, SOUND, "t1");
        table.clear(2, SOUND);
        assertThat(table.endedTargetsOf(SOUND)).isEmpty();
        assertThat(table.changedSince(1)).containsExactly(Suspect.cleared(SOUND, 2));
    }

    @Test
    void a_trial_of_a_condemned_request_is_taken_by_the_first_who_asks_and_there_are_two() {
        table.takeTrial(1, DEADLY, 1, "early");
        List.of("t1", "t2", "t3").forEach(target -> table.recordCrash(2, DEADLY, target));
        table.takeTrial(3, DEADLY, 1, "first");
        table.takeTrial(4, DEADLY, 1, "late");
        assertThat(table.find(DEADLY)).map(Suspect::trialBy).contains("first");
        table.takeTrial(5, DEADLY, 2, "second");
        table.takeTrial(6, DEADLY, 3, "third");
        assertThat(table.find(DEADLY)).map(Suspect::trials).contains(Suspect.MAX_TRIALS);
        assertThat(table.find(DEADLY)).map(Suspect::trialBy).contains("second");
    }

    @Test
    void of_too_many_those_with_the_fewest_ends_are_forgotten_first_and_of_these_the_oldest() {
        table.recordCrash(1, DEADLY, "t1");
        table.recordCrash(2, DEADLY, "t2");
        table.recordCrash(3, SOUND, "t1");
        for (int number = 0; number < SuspectTable.MAX_SUSPECTS - 1; number++) {
            table.recordCrash(4 + number, new RequestFingerprint(3, number), "t1");
        }
        assertThat(table.content()).hasSize(SuspectTable.MAX_SUSPECTS);
        assertThat(table.endedTargetsOf(SOUND)).isEmpty();
        assertThat(table.endedTargetsOf(DEADLY)).hasSize(2);
    }

    @Test
    void a_restored_table_forgets_the_same_as_the_one_that_it_was_made_of() {
        for (int number = 0; number < SuspectTable.MAX_SUSPECTS; number++) {
            table.recordCrash(number, new RequestFingerprint(3, number), "t1");
        }
        SuspectTable restored = SuspectTable.restore(table.content());
        restored.recordCrash(5_000, DEADLY, "t1");
        table.recordCrash(5_000, DEADLY, "t1");
        assertThat(restored.content()).isEqualTo(table.content());
    }
}

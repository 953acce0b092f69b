package org.bankturn.daemon.group;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class WakeScheduleTest {
    private final ManualClock clock = ManualClock.startingAt(1_000);
    private final WakeSchedule schedule = new WakeSchedule(clock);

    /** Guards against a delay of single changes, which must be in force everywhere soon. */
    @Test
    void an_isolated_change_is_answered_at_once() {
        assertThat(schedule.untilNextRoundMillis(60)).isZero();
        schedule.roundStarted();
        clock.advance(1_000);
        assertThat(schedule.untilNextRoundMillis(60)).isZero();
    }

    /** Guards against answers that grow with the square of the number of processes that start together. */
    @Test
    void answers_to_many_watchers_are_bounded_while_changes_come_in_quick_succession() {
        int watchers = 60;
        int answers = 0;
        for (int elapsed = 0; elapsed < 1_000; elapsed++) {
            if (schedule.untilNextRoundMillis(watchers) == 0) {
                schedule.roundStarted();
                answers += watchers;
            }
            clock.advance(1);
        }
        assertThat(answers).isLessThanOrEqualTo(6 * watchers);
    }

    @Test
    void rounds_are_never_far_apart() {
        schedule.roundStarted();
        assertThat(schedule.untilNextRoundMillis(10_000)).isLessThanOrEqualTo(300);
    }
}

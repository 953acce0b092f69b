package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class UrgencyPressureTest {
    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final UrgencyPressure pressure = UrgencyPressure.none(clock);

    /** Guards against less urgent requests that keep capacity while more urgent ones are rejected. */
    @Test
    void less_urgent_requests_make_room_while_more_urgent_ones_are_rejected() {
        record(1, true, 10);
        assertThat(pressure.limitFactor(2)).isZero();
        assertThat(pressure.limitFactor(9)).isZero();
        assertThat(pressure.limitFactor(1)).isEqualTo(1);
        assertThat(pressure.limitFactor(0)).isEqualTo(1);
    }

    /** Guards against a shortage of less urgent requests that lowers the limit of more urgent ones or their own. */
    @Test
    void rejections_of_one_priority_do_not_affect_a_deployment_without_others() {
        record(1, true, 100);
        assertThat(pressure.limitFactor(1)).isEqualTo(1);
    }

    @Test
    void limit_rises_slowly_again_once_more_urgent_requests_are_admitted() {
        record(0, true, 10);
        record(0, false, 5);
        assertThat(pressure.limitFactor(1)).isLessThan(0.1);
        record(0, false, 5);
        assertThat(pressure.limitFactor(1)).isBetween(0.1, 0.9);
        record(0, false, 30);
        assertThat(pressure.limitFactor(1)).isGreaterThan(0.95);
    }

    /** Guards against less urgent requests that stay locked out after the last urgent one was rejected. */
    @Test
    void pressure_ends_with_time_when_no_urgent_request_arrives() {
        record(0, true, 100);
        clock.advance(6_000);
        assertThat(pressure.limitFactor(1)).isBetween(0.1, 0.5);
        clock.advance(30_000);
        assertThat(pressure.limitFactor(1)).isGreaterThan(0.99);
    }

    @Test
    void lack_of_any_target_resets_the_pressure() {
        record(0, true, 100);
        pressure.reset();
        assertThat(pressure.limitFactor(1)).isEqualTo(1);
    }

    private void record(int priority, boolean rejected, int requests) {
        for (int request = 0; request < requests; request++) {
            pressure.recordDecision(priority, rejected);
        }
    }
}

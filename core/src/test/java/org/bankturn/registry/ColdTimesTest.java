package org.bankturn.registry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A cold time that is not recorded would let all gateways send their full load to a cold target. */
class ColdTimesTest {
    private final TargetRegistry registry = TargetRegistry.empty();
    private final ColdTimes coldTimes = ColdTimes.empty();
    private int index;

    @Test
    void a_rise_and_the_end_are_recorded() {
        assertThat(heartbeat(1, 0)).isTrue();
        assertThat(heartbeat(2, 3_000)).isTrue();
        assertThat(recordedColdMillis()).isEqualTo(3_000);
        assertThat(heartbeat(3, 0)).isTrue();
        assertThat(recordedColdMillis()).isZero();
        assertThat(heartbeat(4, 0)).isFalse();
    }

    /** Guards against a log entry and a publication for each heartbeat of a cold target. */
    @Test
    void the_countdown_is_not_recorded() {
        heartbeat(1, 3_000);
        for (int sequence = 2; sequence < 30; sequence++) {
            assertThat(heartbeat(sequence, 3_000 - 100 * sequence)).isFalse();
        }
    }

    @Test
    void a_late_heartbeat_changes_nothing() {
        heartbeat(4, 1_000);
        assertThat(heartbeat(3, 2_000)).isFalse();
        assertThat(heartbeat(2, 0)).isFalse();
        assertThat(recordedColdMillis()).isEqualTo(1_000);
    }

    /** Guards against a second cold time that is hidden because the end of the first one was in no heartbeat. */
    @Test
    void a_target_that_is_cold_again_for_no_longer_than_recorded_is_recorded() {
        heartbeat(1, 3_000);
        heartbeat(2, 400);
        assertThat(heartbeat(3, 3_000)).isTrue();
        assertThat(recordedColdMillis()).isGreaterThanOrEqualTo(3_000);
        heartbeat(4, 1_000);
        assertThat(heartbeat(5, 2_000)).isTrue();
        assertThat(recordedColdMillis()).isGreaterThanOrEqualTo(2_000);
        assertThat(heartbeat(6, 1_900)).isFalse();
    }

    /** A member that did not receive the heartbeat before cannot tell a rise from the countdown. */
    @Test
    void the_first_heartbeat_at_another_member_is_recorded_while_the_target_is_cold() {
        heartbeat(1, 3_000);
        heartbeat(2, 300);
        TargetSighting recorded = ColdTimes.empty()
                .toRecord(sighting(3, 2_900), registry.find("t").orElseThrow().sighting());
        assertThat(registry.wouldChange(recorded)).isTrue();
    }

    /** Guards against losing a rise whose command did not commit. */
    @Test
    void a_rise_that_was_not_recorded_is_found_in_the_next_heartbeat() {
        heartbeat(1, 3_000);
        heartbeat(2, 300);
        TargetSighting known = registry.find("t").orElseThrow().sighting();
        assertThat(registry.wouldChange(coldTimes.toRecord(sighting(3, 3_000), known)))
                .isTrue();
        coldTimes.forget("t");
        assertThat(heartbeat(4, 2_900)).isTrue();
    }

    @Test
    void draining_is_kept_when_the_cold_time_rises() {
        registry.record(++index, sighting(1, 0).asDraining());
        assertThat(heartbeat(2, 500)).isTrue();
        assertThat(registry.find("t").orElseThrow().sighting().draining()).isTrue();
    }

    /** Returns true if the heartbeat was recorded. */
    private boolean heartbeat(long sequence, long coldMillis) {
        TargetSighting registered =
                registry.find("t").map(TargetRecord::sighting).orElse(null);
        TargetSighting toRecord = coldTimes.toRecord(sighting(sequence, coldMillis), registered);
        boolean changes = registry.wouldChange(toRecord);
        registry.record(++index, toRecord);
        return changes;
    }

    private long recordedColdMillis() {
        return registry.find("t").orElseThrow().sighting().coldMillis();
    }

    private static TargetSighting sighting(long sequence, long coldMillis) {
        return new TargetSighting("t", "t", 0, "chat", "10.0.0.1:80", "north", 4, false, 1, sequence, coldMillis);
    }
}

package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Seeded schedules of faults against the group, its storage and what it publishes.
 *
 * <p>The number of schedules is set with {@code -Dbankturn.schedules=10000}; a failure names its seed, which plays it
 * again.
 */
class FaultSimulationTest {
    private static final int SCHEDULES = Integer.getInteger("bankturn.schedules", 200);
    private static final long FIRST_SEED = Long.getLong("bankturn.schedules.first", 1);
    private static final int SCHEDULES_TO_FIND_A_FAULT = 2_000;

    @Test
    void whatever_fails_nothing_acknowledged_is_lost_and_the_group_works_again() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            String broken = play(seed, SeededFault.NONE);
            assertThat(broken).as("seed %d", seed).isNull();
        }
    }

    /**
     * 4964: a late snapshot cut off acknowledged entries. 16462: a member was dropped while another was dying.
     * 56808: a late rejection moved a leader beyond its own log.
     */
    @ParameterizedTest
    @ValueSource(longs = {4_964, 16_462, 56_808})
    void seeds_that_once_failed_stay_good(long seed) {
        assertThat(play(seed, SeededFault.NONE)).isNull();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void a_guard_that_is_left_out_is_found(SeededFault fault) {
        String broken = null;
        for (long seed = 1; seed <= SCHEDULES_TO_FIND_A_FAULT && broken == null; seed++) {
            broken = play(seed, fault);
        }
        assertThat(broken).isNotNull();
    }

    /** Returns what went wrong, null if nothing did. */
    private static String play(long seed, SeededFault fault) {
        try {
            new FaultSimulation(seed, fault).run();
            return null;
        } catch (AssertionError e) {
            return String.valueOf(e.getMessage());
        }
    }
}

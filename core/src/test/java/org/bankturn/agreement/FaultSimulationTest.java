package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs seeded fault simulations. {@code -Dbankturn.schedules} sets the number of seeds and
 * {@code -Dbankturn.schedules.first} the first one.
 */
class FaultSimulationTest {
    private static final int SCHEDULES = Integer.getInteger("bankturn.schedules", 200);
    private static final long FIRST_SEED = Long.getLong("bankturn.schedules.first", 1);
    private static final int MAX_SCHEDULES_PER_FAULT = 10_000;

    @Test
    void acknowledged_changes_survive_faults_and_the_group_recovers() {
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            String failure = run(seed, SeededFault.NONE);
            assertThat(failure).as("seed %d", seed).isNull();
        }
    }

    /**
     * Regression seeds. 4964: a delayed snapshot truncated acknowledged entries. 16462: a member was removed while
     * another one was failing. 56808: a delayed rejection moved the next index past the end of the leader's log.
     */
    @ParameterizedTest
    @ValueSource(longs = {4_964, 16_462, 56_808})
    void formerly_failing_seeds_pass(long seed) {
        assertThat(run(seed, SeededFault.NONE)).isNull();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void simulation_detects_seeded_fault(SeededFault fault) {
        String failure = null;
        for (long seed = 1; seed <= MAX_SCHEDULES_PER_FAULT && failure == null; seed++) {
            failure = run(seed, fault);
        }
        assertThat(failure).isNotNull();
    }

    /** Returns the message of the failed check, null if all checks passed. */
    private static String run(long seed, SeededFault fault) {
        try {
            new FaultSimulation(seed, fault).run();
            return null;
        } catch (AssertionError e) {
            return String.valueOf(e.getMessage());
        }
    }
}

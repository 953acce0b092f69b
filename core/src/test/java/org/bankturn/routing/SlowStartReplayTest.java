package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.routing.SlowStartReplay.Fault;
import org.bankturn.routing.SlowStartReplay.Result;
import org.bankturn.routing.SlowStartReplay.Scheme;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against all gateways together sending a cold target more than it bears, whatever restarts, joins or is cut. */
class SlowStartReplayTest {
    @ParameterizedTest
    @CsvSource({
        "NONE,7", "NONE,36", "NONE,71", "NONE,370",
        "RESTARTS,7", "RESTARTS,36", "RESTARTS,71", "RESTARTS,370",
        "JOINS,7", "JOINS,36", "JOINS,71", "JOINS,370",
        "CUT,7", "CUT,36", "CUT,71", "CUT,370"
    })
    void no_second_exceeds_the_tolerated_requests(Fault fault, int gateways) {
        for (int seed = 1; seed <= 3; seed++) {
            Result result = SlowStartReplay.simulate(Scheme.CHOSEN, fault, gateways, seed);
            assertThat(result.maxInWindow()).isLessThanOrEqualTo(SlowStartReplay.allowedInWindow());
        }
    }

    /** Guards against a bound that holds only because nothing is sent. */
    @ParameterizedTest
    @CsvSource({"NONE,7", "NONE,36", "NONE,71", "RESTARTS,36", "COORDINATOR_UNREACHABLE,36"})
    void half_of_what_a_cold_target_bears_is_sent(Fault fault, int gateways) {
        assertThat(SlowStartReplay.simulate(Scheme.CHOSEN, fault, gateways, 1).utilization())
                .isGreaterThan(0.5);
    }

    /** The reason why permits were not chosen: without the coordinator, a cold target gets nothing. */
    @Test
    void permits_send_nothing_while_the_coordinator_is_unreachable() {
        assertThat(SlowStartReplay.simulate(Scheme.PERMITS, Fault.COORDINATOR_UNREACHABLE, 36, 1)
                        .utilization())
                .isZero();
    }
}

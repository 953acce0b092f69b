package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.routing.RateLimitReplay.Fault;
import org.bankturn.routing.RateLimitReplay.Result;
import org.bankturn.routing.RateLimitReplay.Scheme;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates a rate limit shared by many gateways, with permits and with fixed shares. */
class RateLimitReplayTest {
    @ParameterizedTest
    @CsvSource({
        "NONE,7,0.5", "NONE,7,1", "NONE,49,1", "NONE,49,8", "NONE,370,1",
        "KILLS,7,0.5", "KILLS,7,8", "KILLS,49,1", "KILLS,49,2", "KILLS,49,8",
        "PARTITION,7,1", "PARTITION,49,2"
    })
    void no_window_exceeds_the_tolerated_requests(Fault fault, int gateways, double perSecond) {
        for (int seed = 1; seed <= 3; seed++) {
            Result result = RateLimitReplay.simulate(Scheme.PERMITS, fault, gateways, perSecond, seed);
            assertThat(result.maxInWindow()).isLessThanOrEqualTo(RateLimitReplay.allowedInWindow(perSecond));
        }
    }

    @ParameterizedTest
    @CsvSource({"7,0.5", "7,1", "49,1", "49,2"})
    void offered_rate_is_mostly_used(int gateways, double perSecond) {
        Result result = RateLimitReplay.simulate(Scheme.PERMITS, Fault.NONE, gateways, perSecond, 1);
        assertThat(result.utilization()).isBetween(0.75, 1.05);
    }

    @ParameterizedTest
    @CsvSource({"7,1", "49,1", "49,0.5"})
    void all_gateways_learn_of_the_end_of_a_limit_within_seconds(int gateways, double perSecond) {
        Result result = RateLimitReplay.simulate(Scheme.PERMITS, Fault.NONE, gateways, perSecond, 1);
        assertThat(result.lastLearnedMillis()).isBetween(0L, 10_000L);
    }

    /** With fixed shares, a gateway sends too rarely to learn of the end of a limit. */
    @Test
    void fixed_shares_leave_gateways_unaware_of_the_end() {
        assertThat(RateLimitReplay.simulate(Scheme.SHARES, Fault.NONE, 49, 1, 1).lastLearnedMillis())
                .isEqualTo(-1);
    }
}

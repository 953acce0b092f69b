package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.routing.RateLimitReplay.Fault;
import org.bankturn.routing.RateLimitReplay.Result;
import org.bankturn.routing.RateLimitReplay.Scheme;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A limit that many gateways keep together, replayed with permits; one is the limit, or a part of it for each gateway. */
class RateLimitReplayTest {
    @ParameterizedTest
    @CsvSource({
        "NONE,7,0.5", "NONE,7,1", "NONE,49,1", "NONE,49,8", "NONE,370,1",
        "KILLS,7,0.5", "KILLS,7,8", "KILLS,49,1", "KILLS,49,2", "KILLS,49,8",
        "PARTITION,7,1", "PARTITION,49,2"
    })
    void no_window_holds_more_requests_than_targets_tolerate(Fault fault, int gateways, double perSecond) {
        for (int seed = 1; seed <= 3; seed++) {
            Result result = RateLimitReplay.simulate(Scheme.PERMITS, fault, gateways, perSecond, seed);
            assertThat(result.maxInWindow()).isLessThanOrEqualTo(RateLimitReplay.allowedInWindow(perSecond));
        }
    }

    @ParameterizedTest
    @CsvSource({"7,0.5", "7,1", "49,1", "49,2"})
    void the_target_gets_most_of_what_it_offers(int gateways, double perSecond) {
        Result result = RateLimitReplay.simulate(Scheme.PERMITS, Fault.NONE, gateways, perSecond, 1);
        assertThat(result.utilization()).isBetween(0.75, 1.05);
    }

    @ParameterizedTest
    @CsvSource({"7,1", "49,1", "49,0.5"})
    void every_gateway_learns_of_the_end_within_seconds(int gateways, double perSecond) {
        Result result = RateLimitReplay.simulate(Scheme.PERMITS, Fault.NONE, gateways, perSecond, 1);
        assertThat(result.lastLearnedMillis()).isBetween(0L, 10_000L);
    }

    /** With a part for each, a gateway of many sends so seldom that it hears of nothing. */
    @Test
    void parts_leave_gateways_unaware_of_the_end() {
        assertThat(RateLimitReplay.simulate(Scheme.SHARES, Fault.NONE, 49, 1, 1).lastLearnedMillis())
                .isEqualTo(-1);
    }
}

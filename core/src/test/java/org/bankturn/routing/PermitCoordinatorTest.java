package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class PermitCoordinatorTest {
    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final PermitCoordinator coordinator =
            PermitCoordinator.of(clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

    private PermitCoordinator.Answer ask(String gateway, double perSecond) {
        return coordinator.ask("t", gateway, RateLimit.named(perSecond, clock.millis()), true);
    }

    @Test
    void permits_are_evenly_spaced_after_a_free_interval() {
        assertThat(ask("a", 8)).extracting("granted", "inMillis").containsExactly(true, 125L);
        assertThat(ask("b", 8)).extracting("granted", "inMillis").containsExactly(true, 250L);
        assertThat(ask("c", 8)).extracting("granted", "inMillis").containsExactly(true, 375L);
    }

    @Test
    void permits_are_not_reserved_beyond_the_horizon() {
        assertThat(ask("a", 2)).extracting("granted", "inMillis").containsExactly(true, 500L);
        assertThat(ask("b", 2).granted()).isFalse();
        clock.advance(499);
        assertThat(ask("b", 2).granted()).isFalse();
        clock.advance(1);
        assertThat(ask("b", 2)).extracting("granted", "inMillis").containsExactly(true, 500L);
    }

    @Test
    void permits_of_a_slow_target_follow_its_rate() {
        assertThat(ask("a", 0.5).granted()).isFalse();
        clock.advance(1_500);
        assertThat(ask("a", 0.5)).extracting("granted", "inMillis").containsExactly(true, 500L);
        clock.advance(1_999);
        assertThat(ask("a", 0.5).granted()).isFalse();
        clock.advance(1);
        assertThat(ask("a", 0.5)).extracting("granted", "inMillis").containsExactly(true, 500L);
    }

    @Test
    void end_of_a_limit_is_reported_to_the_next_gateway() {
        RateLimit limit = RateLimit.named(1, clock.millis());
        assertThat(coordinator.ask("t", "a", limit, true).limit().inForce()).isTrue();
        clock.advance(100);
        coordinator.ask("t", "b", RateLimit.none(clock.millis()), false);
        assertThat(coordinator.ask("t", "a", limit, true).limit().inForce()).isFalse();
    }

    @Test
    void outdated_report_does_not_end_a_limit() {
        RateLimit limit = RateLimit.named(1, clock.millis());
        coordinator.ask("t", "a", limit, true);
        RateLimit old = RateLimit.none(clock.millis() - 10);
        assertThat(coordinator.ask("t", "b", old, true).limit().inForce()).isTrue();
    }

    @Test
    void raised_limit_is_not_delayed_by_earlier_reservations() {
        assertThat(ask("a", 0.1).granted()).isFalse();
        clock.advance(10);
        assertThat(ask("a", 10).inMillis()).isLessThanOrEqualTo(500);
    }

    @Test
    void permits_of_different_targets_are_independent() {
        assertThat(ask("a", 2).granted()).isTrue();
        assertThat(ask("b", 2).granted()).isFalse();
        assertThat(coordinator
                        .ask("other", "a", RateLimit.named(2, clock.millis()), true)
                        .granted())
                .isTrue();
    }

    @Test
    void gateways_with_the_same_view_choose_the_same_coordinator() {
        List<String> gateways = List.of("10.0.0.1:7715", "10.0.0.2:7715", "10.0.0.3:7715");
        String responsible = PermitCoordinator.responsible("t", gateways).orElseThrow();
        assertThat(PermitCoordinator.responsible("t", List.of("10.0.0.3:7715", "10.0.0.2:7715", "10.0.0.1:7715")))
                .contains(responsible);
        assertThat(PermitCoordinator.responsible("t", List.of())).isEmpty();
    }

    @Test
    void invalid_rate_is_rejected() {
        for (double rate : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertThatThrownBy(() -> new RateLimit(true, rate, 0))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("requests per second");
        }
        assertThat(RateLimit.named(1e12, 0).perSecond()).isEqualTo(RateLimit.MAX_PER_SECOND);
        assertThat(RateLimit.named(0, 0).perSecond()).isEqualTo(RateLimit.MIN_PER_SECOND);
    }
}

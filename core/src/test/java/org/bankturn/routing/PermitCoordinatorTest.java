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
    void the_first_permit_comes_after_a_free_interval_and_others_evenly_spaced() {
        assertThat(ask("a", 8)).extracting("granted", "inMillis").containsExactly(true, 125L);
        assertThat(ask("b", 8)).extracting("granted", "inMillis").containsExactly(true, 250L);
        assertThat(ask("c", 8)).extracting("granted", "inMillis").containsExactly(true, 375L);
    }

    @Test
    void no_permit_is_reserved_further_ahead_than_the_bound() {
        assertThat(ask("a", 2)).extracting("granted", "inMillis").containsExactly(true, 500L);
        assertThat(ask("b", 2).granted()).isFalse();
        clock.advance(499);
        assertThat(ask("b", 2).granted()).isFalse();
        clock.advance(1);
        assertThat(ask("b", 2)).extracting("granted", "inMillis").containsExactly(true, 500L);
    }

    @Test
    void a_slow_target_gets_its_permits_as_far_apart_as_it_wants() {
        assertThat(ask("a", 0.5).granted()).isFalse();
        clock.advance(1_500);
        assertThat(ask("a", 0.5)).extracting("granted", "inMillis").containsExactly(true, 500L);
        clock.advance(1_999);
        assertThat(ask("a", 0.5).granted()).isFalse();
        clock.advance(1);
        assertThat(ask("a", 0.5)).extracting("granted", "inMillis").containsExactly(true, 500L);
    }

    @Test
    void the_end_of_a_limit_is_told_to_whoever_asks_next() {
        RateLimit limit = RateLimit.named(1, clock.millis());
        assertThat(coordinator.ask("t", "a", limit, true).limit().inForce()).isTrue();
        clock.advance(100);
        coordinator.ask("t", "b", RateLimit.none(clock.millis()), false);
        assertThat(coordinator.ask("t", "a", limit, true).limit().inForce()).isFalse();
    }

    @Test
    void an_older_word_does_not_end_a_limit() {
        RateLimit limit = RateLimit.named(1, clock.millis());
        coordinator.ask("t", "a", limit, true);
        RateLimit old = RateLimit.none(clock.millis() - 10);
        assertThat(coordinator.ask("t", "b", old, true).limit().inForce()).isTrue();
    }

    @Test
    void a_higher_limit_is_not_held_up_by_a_time_reserved_under_a_lower_one() {
        assertThat(ask("a", 0.1).granted()).isFalse();
        clock.advance(10);
        assertThat(ask("a", 10).inMillis()).isLessThanOrEqualTo(500);
    }

    @Test
    void permits_of_one_target_do_not_touch_those_of_another() {
        assertThat(ask("a", 2).granted()).isTrue();
        assertThat(ask("b", 2).granted()).isFalse();
        assertThat(coordinator
                        .ask("other", "a", RateLimit.named(2, clock.millis()), true)
                        .granted())
                .isTrue();
    }

    @Test
    void all_gateways_with_the_same_view_ask_the_same_one() {
        List<String> gateways = List.of("10.0.0.1:7715", "10.0.0.2:7715", "10.0.0.3:7715");
        String responsible = PermitCoordinator.responsible("t", gateways).orElseThrow();
        assertThat(PermitCoordinator.responsible("t", List.of("10.0.0.3:7715", "10.0.0.2:7715", "10.0.0.1:7715")))
                .contains(responsible);
        assertThat(PermitCoordinator.responsible("t", List.of())).isEmpty();
    }

    @Test
    void a_number_that_is_no_rate_is_refused() {
        for (double rate : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertThatThrownBy(() -> new RateLimit(true, rate, 0))
                    .isInstanceOf(IllegalArgumentException.class)
                    .hasMessageContaining("requests a second");
        }
        assertThat(RateLimit.named(1e12, 0).perSecond()).isEqualTo(RateLimit.MAX_PER_SECOND);
        assertThat(RateLimit.named(0, 0).perSecond()).isEqualTo(RateLimit.MIN_PER_SECOND);
    }
}

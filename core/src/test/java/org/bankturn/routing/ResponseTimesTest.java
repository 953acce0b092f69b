package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class ResponseTimesTest {
    private final ResponseTimes times = ResponseTimes.none();

    @Test
    void requests_of_an_unknown_route_are_quick_if_they_may_be_repeated_and_endless_if_not() {
        assertThat(times.expectedMillis("r", true)).isZero();
        assertThat(times.expectedMillis("r", false)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void a_request_that_may_not_be_repeated_is_expected_to_be_a_slow_one() {
        for (int number = 0; number < 200; number++) {
            times.record("r", number % 2 == 0 ? 100 : 500);
        }
        assertThat(times.expectedMillis("r", true)).isBetween(250L, 350L);
        assertThat(times.expectedMillis("r", false)).isBetween(900L, 1_300L);
    }

    @Test
    void removed_routes_are_forgotten() {
        times.record("r", 100);
        times.retain(Set.of("other"));
        assertThat(times.expectedMillis("r", false)).isEqualTo(Long.MAX_VALUE);
    }
}

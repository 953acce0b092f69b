package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class CallerRetryDetectorTest {
    private static final long TIMEOUT_MILLIS = 6_000;
    private static final long SHORTEST_TIMEOUT_MILLIS = 5_000;
    private static final long RETRY_DELAY_MILLIS = 980;
    private static final int CALM_REQUESTS = 200;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final CallerRetryDetector detector = CallerRetryDetector.of(clock);

    /** Guards against first attempts that are rejected as retries because the timeouts of callers differ. */
    @Test
    void first_attempts_with_different_timeouts_are_no_retries_during_a_shortage() {
        calm(SHORTEST_TIMEOUT_MILLIS);
        detector.requestRejected();
        int mistaken = 0;
        for (int request = 0; request < CALM_REQUESTS; request++) {
            mistaken += isRetry(timeout(SHORTEST_TIMEOUT_MILLIS)) ? 1 : 0;
        }
        assertThat(mistaken).isLessThanOrEqualTo(CALM_REQUESTS / 5);
    }

    @Test
    void a_retry_after_the_told_delay_is_detected_although_timeouts_differ() {
        calm(SHORTEST_TIMEOUT_MILLIS);
        detector.requestRejected();
        assertThat(isRetry(SHORTEST_TIMEOUT_MILLIS - RETRY_DELAY_MILLIS)).isTrue();
    }

    @Test
    void an_early_retry_is_detected_where_all_first_attempts_have_one_timeout() {
        calm(TIMEOUT_MILLIS);
        detector.requestRejected();
        assertThat(isRetry(TIMEOUT_MILLIS - 300)).isTrue();
        assertThat(isRetry(TIMEOUT_MILLIS)).isFalse();
    }

    @Test
    void without_observations_every_shorter_timeout_tells_a_retry() {
        assertThat(isRetry(TIMEOUT_MILLIS)).isFalse();
        detector.requestRejected();
        assertThat(isRetry(TIMEOUT_MILLIS - RETRY_DELAY_MILLIS)).isTrue();
    }

    private void calm(long shortestMillis) {
        for (int request = 0; request < CALM_REQUESTS; request++) {
            isRetry(timeout(shortestMillis));
        }
        assertThat(isRetry(TIMEOUT_MILLIS)).isFalse();
    }

    private long timeout(long shortestMillis) {
        return shortestMillis + random.nextLong(TIMEOUT_MILLIS - shortestMillis + 1);
    }

    private boolean isRetry(long timeoutMillis) {
        return detector.isRetry("route", timeoutMillis);
    }
}

package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import org.bankturn.time.Clock;

/**
 * Distinguishes retries of rejected callers from first attempts.
 *
 * <p>A caller sends its timeout. One that retries has already used part of it, so its timeout is shorter than the
 * longest of its route. CallerRetryDetector is mutable and not thread-safe.
 */
final class CallerRetryDetector {
    /** The share of the longest timeout below which a request counts as a retry. */
    private static final double FULL_TIMEOUT_SHARE = 0.97;

    /** The minimum time that the longest timeout of a route is retained. */
    private static final long RETENTION_MILLIS = 10_000;

    private final Clock clock;
    private final Map<String, LongestTimeout> longestTimeouts = new HashMap<>();

    /** The longest timeout in the current and the previous period. */
    private record LongestTimeout(long startMillis, long currentMillis, long previousMillis) {
        LongestTimeout with(long nowMillis, long timeoutMillis) {
            return nowMillis - startMillis < RETENTION_MILLIS
                    ? new LongestTimeout(startMillis, Math.max(currentMillis, timeoutMillis), previousMillis)
                    : new LongestTimeout(nowMillis, timeoutMillis, currentMillis);
        }

        long millis() {
            return Math.max(currentMillis, previousMillis);
        }
    }

    static CallerRetryDetector of(Clock clock) {
        return new CallerRetryDetector(clock);
    }

    private CallerRetryDetector(Clock clock) {
        this.clock = clock;
    }

    /** Records a new request and returns true if it is a retry. */
    boolean isRetry(String route, long timeoutMillis) {
        LongestTimeout known = longestTimeouts.getOrDefault(route, new LongestTimeout(clock.millis(), 0, 0));
        LongestTimeout newer = known.with(clock.millis(), timeoutMillis);
        longestTimeouts.put(route, newer);
        return timeoutMillis < newer.millis() * FULL_TIMEOUT_SHARE;
    }
}

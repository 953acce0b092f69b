package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import org.bankturn.time.Clock;

/**
 * Tells requests that were refused and came back from those that are tried for the first time.
 *
 * <p>A caller says how long it will wait. One that comes back has waited already, so it says less than the others of its
 * route do. ReturningCallers is mutable and not thread-safe.
 */
final class CallerRetryDetector {
    /** A caller that was refused at once and came back at once has lost more than that share of its patience. */
    private static final double FULL_TIMEOUT_SHARE = 0.97;

    /** How long the longest patience of a route is remembered, at least. */
    private static final long RETENTION_MILLIS = 10_000;

    private final Clock clock;
    private final Map<String, LongestTimeout> longestTimeouts = new HashMap<>();

    /** The longest patience in a span of time, and in the span before it. */
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

    /** Takes in a request that has just come, and returns true if its caller has come back. */
    boolean isRetry(String route, long timeoutMillis) {
        LongestTimeout known = longestTimeouts.getOrDefault(route, new LongestTimeout(clock.millis(), 0, 0));
        LongestTimeout newer = known.with(clock.millis(), timeoutMillis);
        longestTimeouts.put(route, newer);
        return timeoutMillis < newer.millis() * FULL_TIMEOUT_SHARE;
    }
}

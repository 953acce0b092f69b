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
    private static final double WHOLE_PATIENCE_SHARE = 0.97;

    /** How long the longest patience of a route is remembered, at least. */
    private static final long MEMORY_MILLIS = 10_000;

    private final Clock clock;
    private final Map<String, Longest> longest = new HashMap<>();

    /** The longest patience in a span of time, and in the span before it. */
    private record Longest(long sinceMillis, long now, long before) {
        Longest with(long nowMillis, long patienceMillis) {
            return nowMillis - sinceMillis < MEMORY_MILLIS
                    ? new Longest(sinceMillis, Math.max(now, patienceMillis), before)
                    : new Longest(nowMillis, patienceMillis, now);
        }

        long millis() {
            return Math.max(now, before);
        }
    }

    static CallerRetryDetector of(Clock clock) {
        return new CallerRetryDetector(clock);
    }

    private CallerRetryDetector(Clock clock) {
        this.clock = clock;
    }

    /** Takes in a request that has just come, and returns true if its caller has come back. */
    boolean isRetry(String route, long patienceMillis) {
        Longest known = longest.getOrDefault(route, new Longest(clock.millis(), 0, 0));
        Longest newer = known.with(clock.millis(), patienceMillis);
        longest.put(route, newer);
        return patienceMillis < newer.millis() * WHOLE_PATIENCE_SHARE;
    }
}

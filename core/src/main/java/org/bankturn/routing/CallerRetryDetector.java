package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import org.bankturn.time.Clock;

/**
 * Distinguishes retries of rejected callers from first attempts.
 *
 * <p>A caller sends its timeout. One that retries has already used part of it, so its timeout is shorter than the
 * longest of its route. The timeouts of first attempts may differ as well, by a sixth and more; if all shorter ones counted
 * as retries, most first attempts would be rejected as such during a shortage, and the shortage would outlast its cause.
 * While nothing is rejected there are no retries, so the timeouts seen then show how short those of first attempts are.
 * CallerRetryDetector is mutable and not thread-safe.
 */
final class CallerRetryDetector {
    /** The share of the longest timeout above which a request is never a retry. */
    private static final double FULL_TIMEOUT_SHARE = 0.97;

    /**
     * How much shorter than nine tenths of the first attempts a retry is, as a share of the longest timeout; timeouts that are
     * spread evenly over a sixth are then hardly ever mistaken.
     */
    private static final double MARGIN_SHARE = 0.025;

    /** The time after a rejection until no retry of its caller is expected; callers wait a third of their timeout at most. */
    private static final long RETRY_PERIOD_MILLIS = 5_000;

    /** The minimum time that the longest timeout of a route is retained. */
    private static final long RETENTION_MILLIS = 10_000;

    private final Clock clock;
    private final Map<String, LongestTimeout> longestTimeouts = new HashMap<>();
    private final FirstAttemptTimeouts firstAttempts = FirstAttemptTimeouts.none();
    private long rejectedMillis = Long.MIN_VALUE / 2;

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

    /** Records that a request was rejected, so that callers will retry. */
    void requestRejected() {
        rejectedMillis = clock.millis();
    }

    /** Records a new request and returns true if it is a retry. */
    boolean isRetry(String route, long timeoutMillis) {
        LongestTimeout known = longestTimeouts.getOrDefault(route, new LongestTimeout(clock.millis(), 0, 0));
        LongestTimeout newer = known.with(clock.millis(), timeoutMillis);
        longestTimeouts.put(route, newer);
        double share = (double) timeoutMillis / Math.max(1, newer.millis());
        boolean retriesExpected = clock.millis() - rejectedMillis < RETRY_PERIOD_MILLIS;
        if (!retriesExpected) {
            firstAttempts.record(share);
        }
        double usual = firstAttempts.isKnown() ? firstAttempts.shortestShare() - MARGIN_SHARE : FULL_TIMEOUT_SHARE;
        return share < Math.min(FULL_TIMEOUT_SHARE, usual);
    }
}

package org.bankturn.routing;

/**
 * The schedule of a planned gateway shutdown.
 *
 * <p>Load pattern: callers are still routed to a gateway for some seconds after it reports that it is not ready. It
 * accepts them until load balancers have noticed, then ends the requests in progress. What has no answer near the end of the
 * grace period gets a final one while there is time to deliver it.
 *
 * <p>ShutdownSchedule has no state.
 */
public final class ShutdownSchedule {
    /** Two readiness probes a second apart must fail while the second response and a new connection are in flight: 2 s and a margin. */
    private static final long DRAIN_MILLIS = 2_600;

    /** The time reserved for the exit of the process. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    /** The time reserved for the delivery of the final answers. */
    private static final long DELIVERY_MILLIS = 400;

    private ShutdownSchedule() {}

    /** Returns true once no new callers are routed to this gateway, or it can answer no further requests. */
    public static boolean isTrafficDrained(long sinceStopMillis, long gracePeriodMillis) {
        return sinceStopMillis >= Math.min(DRAIN_MILLIS, answerMillis(gracePeriodMillis));
    }

    /** Returns the time from the stop until every request must have its final answer. */
    public static long answerMillis(long gracePeriodMillis) {
        long exitMillis = exitMillis(gracePeriodMillis);
        return Math.max(exitMillis - DELIVERY_MILLIS, exitMillis / 2);
    }

    /** Returns true once the process must exit regardless of requests in progress. */
    public static boolean mustExit(long sinceStopMillis, long gracePeriodMillis) {
        return sinceStopMillis >= exitMillis(gracePeriodMillis);
    }

    private static long exitMillis(long gracePeriodMillis) {
        return Math.max(gracePeriodMillis - EXIT_MARGIN_MILLIS, gracePeriodMillis / 2);
    }
}

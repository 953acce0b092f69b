package org.bankturn.routing;

/**
 * The schedule of a planned gateway shutdown.
 *
 * <p>Load pattern: callers are still routed to a gateway for some seconds after it reports that it is not ready. It
 * accepts them until load balancers have noticed, then ends the requests in progress.
 *
 * <p>ShutdownSchedule has no state.
 */
public final class ShutdownSchedule {
    /** Two readiness probes a second apart must fail while the second response and a new connection are in flight: 2 s and a margin. */
    private static final long DRAIN_MILLIS = 2_600;

    /** The time reserved for the exit of the process. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    private ShutdownSchedule() {}

    /** Returns true once no new callers are routed to this gateway. */
    public static boolean isTrafficDrained(long sinceStopMillis) {
        return sinceStopMillis >= DRAIN_MILLIS;
    }

    /** Returns true once the process must exit regardless of requests in progress. */
    public static boolean mustExit(long sinceStopMillis, long gracePeriodMillis) {
        return sinceStopMillis >= gracePeriodMillis - EXIT_MARGIN_MILLIS;
    }
}

package org.bankturn.routing;

/**
 * Says what a gateway does in the course of a planned stop.
 *
 * <p>Load pattern: callers are still sent to a gateway for some seconds after it has said that it is not ready. It takes
 * them until whoever sends them there has surely noticed, then ends what is under way.
 *
 * <p>StopPlan has no state.
 */
public final class ShutdownSchedule {
    /** Two questions a second apart must miss, and the second answer and a new connection be under way: 2 s and a margin. */
    private static final long DRAIN_MILLIS = 2_600;

    /** The process ends itself by then, with time for its last lines. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    private ShutdownSchedule() {}

    /** Returns true once no new callers are sent here any more. */
    public static boolean isTrafficDrained(long sinceStopMillis) {
        return sinceStopMillis >= DRAIN_MILLIS;
    }

    /** Returns true once the process must end, whatever is still under way. */
    public static boolean mustExit(long sinceStopMillis, long gracePeriodMillis) {
        return sinceStopMillis >= gracePeriodMillis - EXIT_MARGIN_MILLIS;
    }
}

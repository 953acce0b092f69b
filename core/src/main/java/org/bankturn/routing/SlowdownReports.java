package org.bankturn.routing;

/**
 * Whether engines of a service reported recently that they were slowed down.
 *
 * <p>Without such reports, long gaps between events are due to the processing of large prompts. SlowdownReports is
 * mutable and not thread-safe.
 */
final class SlowdownReports {
    /** The reported slowdown that counts; smaller ones are within the spread of the model. */
    private static final double MIN_SLOWDOWN = 1.5;

    /** Covers some rounds in which a gateway polls its engines in the background. */
    private static final long RETENTION_MILLIS = 10_000;

    private long lastMillis = Long.MIN_VALUE / 2;

    /** Returns an instance without reports, not null. */
    static SlowdownReports none() {
        return new SlowdownReports();
    }

    private SlowdownReports() {}

    /** Returns true if an engine recently reported a slowdown. */
    boolean anyRecent(long nowMillis) {
        return nowMillis - lastMillis < RETENTION_MILLIS;
    }

    /** Records the pace that an engine reported. */
    void reported(double pace, long nowMillis) {
        if (pace >= MIN_SLOWDOWN) {
            lastMillis = nowMillis;
        }
    }
}

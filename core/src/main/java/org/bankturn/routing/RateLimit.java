package org.bankturn.routing;

/**
 * The requests a second that a target takes from all gateways together, or that it takes any number again.
 *
 * <p>RateLimit is immutable and thread-safe.
 *
 * @param inForce true while the target names a limit
 * @param perSecond the requests a second, 0 if none is in force
 * @param asOfMillis when the target said so
 */
public record RateLimit(boolean inForce, double perSecond, long asOfMillis) {
    /** A target that takes nothing gets a request that often all the same, or the end of its limit would stay unknown. */
    public static final double MIN_PER_SECOND = 0.1;

    /** A limit beyond that limits nothing that one target could run. */
    public static final double MAX_PER_SECOND = 100_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Checks the number. */
    public RateLimit {
        if (!(perSecond >= 0 && perSecond <= MAX_PER_SECOND)) {
            throw new IllegalArgumentException(
                    "requests a second must be from 0 to " + MAX_PER_SECOND + ", not " + perSecond);
        }
    }

    /**
     * Returns a limit that a target named, not null.
     *
     * @param perSecond the requests a second, 0 or more; what is very small or large is brought into bounds
     * @param asOfMillis when the target said so
     */
    public static RateLimit named(double perSecond, long asOfMillis) {
        return new RateLimit(true, Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond)), asOfMillis);
    }

    /** Returns what is known of a target that named no limit at a moment, not null. */
    public static RateLimit none(long asOfMillis) {
        return new RateLimit(false, 0, asOfMillis);
    }

    /** Returns the newer of the two; a limit goes before its end at the same moment. */
    public RateLimit newerOf(RateLimit other) {
        boolean otherIsNewer = other.asOfMillis > asOfMillis || (other.asOfMillis == asOfMillis && other.inForce);
        return otherIsNewer ? other : this;
    }

    /** Returns the time between two requests. */
    double paceMillis() {
        return MILLIS_PER_SECOND / perSecond;
    }
}

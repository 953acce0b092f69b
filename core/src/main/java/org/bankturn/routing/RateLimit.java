package org.bankturn.routing;

/**
 * The rate limit of a target for all gateways together, or the absence of one.
 *
 * <p>RateLimit is immutable and thread-safe.
 *
 * @param inForce true while the target has a limit
 * @param perSecond the requests per second, 0 if there is no limit
 * @param asOfMillis when the target reported it
 */
public record RateLimit(boolean inForce, double perSecond, long asOfMillis) {
    /**
     * The minimum rate; a target that accepts nothing still gets occasional requests that reveal the end of its limit.
     */
    public static final double MIN_PER_SECOND = 0.1;

    /** The maximum rate; beyond what one target could serve. */
    public static final double MAX_PER_SECOND = 100_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Validates the rate. */
    public RateLimit {
        if (!(perSecond >= 0 && perSecond <= MAX_PER_SECOND)) {
            throw new IllegalArgumentException(
                    "requests per second must be from 0 to " + MAX_PER_SECOND + ", not " + perSecond);
        }
    }

    /**
     * Returns a limit that a target reported, not null.
     *
     * @param perSecond the requests per second, 0 or more; clamped to the supported range
     * @param asOfMillis when the target reported it
     */
    public static RateLimit named(double perSecond, long asOfMillis) {
        return new RateLimit(true, Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond)), asOfMillis);
    }

    /** Returns the state of a target that reported no limit at the given time, not null. */
    public static RateLimit none(long asOfMillis) {
        return new RateLimit(false, 0, asOfMillis);
    }

    /** Returns the newer of the two; at the same time, a limit takes precedence over its end. */
    public RateLimit newerOf(RateLimit other) {
        boolean otherIsNewer = other.asOfMillis > asOfMillis || (other.asOfMillis == asOfMillis && other.inForce);
        return otherIsNewer ? other : this;
    }

    /** Returns the interval between two requests. */
    double intervalMillis() {
        return MILLIS_PER_SECOND / perSecond;
    }
}

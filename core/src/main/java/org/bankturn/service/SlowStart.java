package org.bankturn.service;

/**
 * How long a target is cold after a start, and how many requests it bears meanwhile.
 *
 * @param durationMillis the time for which a target is cold after a start, 0 or more
 * @param requestsPerSecond the request rate that a cold target bears from all gateways together, 0 if it is not limited
 */
public record SlowStart(long durationMillis, double requestsPerSecond) {
    /** Targets that bear their full load at once. */
    public static final SlowStart NONE = new SlowStart(0, 0);

    /** Validates the values. */
    public SlowStart {
        if (durationMillis < 0 || !(requestsPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "duration and rate must not be negative: " + durationMillis + ", " + requestsPerSecond);
        }
    }

    /** Returns true if the rate of a cold target is limited. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }
}

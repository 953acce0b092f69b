package org.bankturn.routing;

import java.util.OptionalDouble;

/**
 * What a target's answer asks of its callers.
 *
 * <p>TargetNotice is immutable and thread-safe.
 *
 * @param requestsPerSecond the requests a second that it takes from all gateways together, empty if it names none, not null
 * @param backOffMillis how long it wants nothing more from this gateway, 0 if it does not say
 * @param leaving true if it is about to end and wants no new work
 */
public record TargetNotice(OptionalDouble requestsPerSecond, long backOffMillis, boolean leaving) {
    /** An answer that asks for nothing. */
    public static final TargetNotice NONE = new TargetNotice(OptionalDouble.empty(), 0, false);

    /** Checks the numbers. */
    public TargetNotice {
        if (requestsPerSecond.isPresent() && !(requestsPerSecond.getAsDouble() >= 0)) {
            throw new IllegalArgumentException("requests a second must be 0 or more: " + requestsPerSecond);
        }
        if (backOffMillis < 0) {
            throw new IllegalArgumentException("back-off must be 0 or more: " + backOffMillis);
        }
    }
}

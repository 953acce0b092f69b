package org.bankturn.routing;

import java.util.OptionalDouble;

/**
 * The flow control information in a response of a target.
 *
 * <p>TargetNotice is immutable and thread-safe.
 *
 * @param requestsPerSecond the rate limit for all gateways together, empty if there is none, not null
 * @param backOffMillis how long this gateway should back off, 0 if not at all
 * @param leaving true if the target is shutting down and accepts no new requests
 */
public record TargetNotice(OptionalDouble requestsPerSecond, long backOffMillis, boolean leaving) {
    /** A response without flow control information. */
    public static final TargetNotice NONE = new TargetNotice(OptionalDouble.empty(), 0, false);

    /** Validates the values. */
    public TargetNotice {
        if (requestsPerSecond.isPresent() && !(requestsPerSecond.getAsDouble() >= 0)) {
            throw new IllegalArgumentException("requests per second must be 0 or more: " + requestsPerSecond);
        }
        if (backOffMillis < 0) {
            throw new IllegalArgumentException("back-off must be 0 or more: " + backOffMillis);
        }
    }
}

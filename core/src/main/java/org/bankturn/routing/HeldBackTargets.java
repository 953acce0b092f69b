package org.bankturn.routing;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The otherwise eligible targets that are held back, at their own request or because their data hall is evacuated.
 *
 * <p>HeldBackTargets is mutable and not thread-safe.
 */
public final class HeldBackTargets {
    private final Map<HoldReason, Integer> counts = new EnumMap<>(HoldReason.class);
    /** Returns the time until the first target is released. */
    private long earliestReleaseMillis = Long.MAX_VALUE;

    HeldBackTargets() {}

    void add(HoldReason reason, long releaseMillis) {
        counts.merge(reason, 1, Integer::sum);
        earliestReleaseMillis = Math.min(earliestReleaseMillis, releaseMillis);
    }

    /** Returns true if there are none. */
    public boolean isEmpty() {
        return counts.isEmpty();
    }

    /** Returns true if the release time of at least one target is known. */
    public boolean hasKnownReleaseTime() {
        return earliestReleaseMillis < Long.MAX_VALUE;
    }

    /** Returns how long until the first of them takes a request again. */
    public long earliestReleaseMillis() {
        return earliestReleaseMillis;
    }

    /** Returns the number of targets per reason, for the log; empty if there are none. */
    @Override
    public String toString() {
        return counts.entrySet().stream()
                .map(each -> each.getValue() + " " + each.getKey().label())
                .collect(Collectors.joining(", "));
    }
}

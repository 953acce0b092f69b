package org.bankturn.routing;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The targets that could run a request and must not get it now, by their own wish.
 *
 * <p>HeldBackTargets is mutable and not thread-safe.
 */
public final class HeldBackTargets {
    private final Map<HoldReason, Integer> counts = new EnumMap<>(HoldReason.class);
    private long earliestReleaseMillis = Long.MAX_VALUE;

    HeldBackTargets() {}

    void add(HoldReason reason, long releaseMillis) {
        counts.merge(reason, 1, Integer::sum);
        earliestReleaseMillis = Math.min(earliestReleaseMillis, releaseMillis);
    }

    /** Returns true if one of them takes a request again in a time that is known. */
    public boolean hasKnownReleaseTime() {
        return earliestReleaseMillis < Long.MAX_VALUE;
    }

    /** Returns how long until the first of them takes a request again. */
    public long earliestReleaseMillis() {
        return earliestReleaseMillis;
    }

    /** Returns how many there are for each reason, for the log; empty if there is none. */
    @Override
    public String toString() {
        return counts.entrySet().stream()
                .map(each -> each.getValue() + " " + each.getKey().label())
                .collect(Collectors.joining(", "));
    }
}

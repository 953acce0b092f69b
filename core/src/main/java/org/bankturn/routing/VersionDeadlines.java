package org.bankturn.routing;

import java.util.Map;
import java.util.TreeMap;

/**
 * When requests must begin on newer versions of a model's weights.
 *
 * <p>A target that holds an older version may take a request only if it is likely to begin before the next version is due.
 * Requests wait at engines and on slow links, so the moment of sending does not count.
 *
 * <p>VersionsDue is mutable and not thread-safe.
 */
public final class VersionDeadlines {
    /** Links and engines that are about to get slower make a request begin later than predicted, by this factor. */
    private static final double PREDICTION_MARGIN = 2;

    private final TreeMap<Integer, Long> deadlines = new TreeMap<>();

    /** Returns an object for a model of which no version was named, not null. */
    public static VersionDeadlines none() {
        return new VersionDeadlines();
    }

    private VersionDeadlines() {}

    /** Returns the oldest version that a request may be sent to, 0 for any. */
    public int minVersion(long nowMillis) {
        return deadlines.descendingMap().entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(0);
    }

    /**
     * Returns true if a request that is sent now is likely to begin early enough.
     *
     * @param heldVersion the version that the target holds
     * @param nowMillis the time
     * @param predictedMillis how long until it begins there, as predicted
     */
    public boolean canStartInTime(int heldVersion, long nowMillis, double predictedMillis) {
        double startMillis = nowMillis + predictedMillis * PREDICTION_MARGIN;
        return deadlines.tailMap(heldVersion, false).values().stream().allMatch(deadline -> startMillis <= deadline);
    }

    /** Takes in that a version was named; the first time counts. */
    public void versionAnnounced(int version, long deadlineMillis) {
        deadlines.putIfAbsent(version, deadlineMillis);
    }

    @Override
    public String toString() {
        return "VersionsDue" + deadlines;
    }
}

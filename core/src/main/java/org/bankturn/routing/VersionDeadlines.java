package org.bankturn.routing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The times from which requests must start on newer versions of a model's weights.
 *
 * <p>A target with an older version may get a request only if it is likely to start before the next version's deadline,
 * as requests wait at engines and on slow links.
 *
 * <p>VersionDeadlines is mutable and not thread-safe.
 */
public final class VersionDeadlines {
    /** The safety factor for predictions, which covers links and engines that are slowing down. */
    private static final double PREDICTION_MARGIN = 2;

    /**
     * How long after its start a process sends requests to older weights of which it does not know when they were
     * replaced; less than the time after which others rely on the process again.
     */
    private static final long GRACE_AFTER_START_MILLIS = 2_000;

    private final TreeMap<Integer, Long> deadlines = new TreeMap<>();

    /** Returns deadlines for a model without announced versions, not null. */
    public static VersionDeadlines none() {
        return new VersionDeadlines();
    }

    private VersionDeadlines() {}

    /**
     * Returns the deadline of a version for a process that learns of it.
     *
     * @param startedMillis when the process started
     * @param namedAfterMillis a time before the version was named
     * @param allowedMillis how long requests may start on older versions after it was named
     */
    public static long deadlineOf(long startedMillis, long namedAfterMillis, long allowedMillis) {
        boolean mayPredateStart = namedAfterMillis < startedMillis;
        return mayPredateStart ? startedMillis + GRACE_AFTER_START_MILLIS : namedAfterMillis + allowedMillis;
    }

    /** Returns the minimum version that may serve a request, 0 for any. */
    public int minVersion(long nowMillis) {
        return deadlines.descendingMap().entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(0);
    }

    /** Returns the newest announced version, 0 if there is none. */
    public int newestVersion() {
        return deadlines.isEmpty() ? 0 : deadlines.lastKey();
    }

    /**
     * Returns true if a request sent now is likely to start before the deadlines of newer versions.
     *
     * @param heldVersion the version that the target holds
     * @param nowMillis the current time
     * @param predictedMillis the predicted time until it starts
     */
    public boolean canStartInTime(int heldVersion, long nowMillis, double predictedMillis) {
        double startMillis = nowMillis + predictedMillis * PREDICTION_MARGIN;
        return deadlines.tailMap(heldVersion, false).values().stream().allMatch(deadline -> startMillis <= deadline);
    }

    /** Records the deadline of a version; the first one recorded applies. */
    public void versionAnnounced(int version, long deadlineMillis) {
        deadlines.putIfAbsent(version, deadlineMillis);
    }

    @Override
    public String toString() {
        return "VersionDeadlines" + deadlines;
    }
}

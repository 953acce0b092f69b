package org.bankturn.weights;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Schedules when each box orders its engine to change to a newly published version.
 *
 * <p>An engine accepts no requests while it changes, so the others must carry its load. Start times are spread evenly between
 * the completion of copies and the latest start of the method, alternating between data halls, so that at any time about the
 * same share of each hall's engines is changing. Every box computes its own start time from the published state, without
 * coordination, so a slow or failed box does not delay the others.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class ChangeSchedule {
    /** The share of the allowed time before the first start; copies on idle links are complete by then. */
    private static final double EARLIEST_START_SHARE = 0.42;

    private final long allowedMillis;
    private final ChangeMethod method;

    /** The rank of a box within its hall, with the hall as tie-breaker. */
    private record Rank(int inHall, String hall, String box) {}

    /**
     * Returns the schedule of a change.
     *
     * @param allowedMillis the time from publication until every engine must have changed, at least 1
     * @param method how engines change, not null
     * @return the schedule, not null
     * @throws IllegalArgumentException if {@code allowedMillis} is less than 1
     */
    public static ChangeSchedule within(long allowedMillis, ChangeMethod method) {
        if (allowedMillis < 1) {
            throw new IllegalArgumentException("allowedMillis must be positive: " + allowedMillis);
        }
        return new ChangeSchedule(allowedMillis, method);
    }

    private ChangeSchedule(long allowedMillis, ChangeMethod method) {
        this.allowedMillis = allowedMillis;
        this.method = method;
    }

    /**
     * Returns the start time of a box.
     *
     * <p>A late copy suggests that the copies of other boxes are about as late, so start times are spread over the remaining
     * time; without any time left the box starts immediately.
     *
     * @param box the box's name, not null
     * @param boxes all boxes that change, not null; an unlisted box gets the first start time
     * @param completedMillis the completion of the box's copy, in milliseconds after publication
     * @return the start in milliseconds after publication, not before the copy was complete
     */
    public long startMillis(String box, List<WeightsPeer> boxes, long completedMillis) {
        List<String> order = order(boxes);
        double share = Math.max(0, order.indexOf(box)) / (double) Math.max(1, order.size() - 1);
        double completed = (double) completedMillis;
        double first = Math.max(allowedMillis * EARLIEST_START_SHARE, completed);
        double last = Math.max(allowedMillis * method.latestStartShare(), completed);
        return Math.round(first + (last - first) * share);
    }

    /** Returns the boxes in start order: the first of each data hall, then the second of each, and so on. */
    private static List<String> order(List<WeightsPeer> boxes) {
        Map<String, Integer> seen = new HashMap<>();
        return boxes.stream()
                .sorted(Comparator.comparing(WeightsPeer::box))
                .map(box -> new Rank(seen.merge(box.dataHall(), 1, Integer::sum), box.dataHall(), box.box()))
                .sorted(Comparator.comparingInt(Rank::inHall).thenComparing(Rank::hall))
                .map(Rank::box)
                .toList();
    }

    @Override
    public String toString() {
        return "ChangeSchedule[" + allowedMillis + ", " + method + "]";
    }
}

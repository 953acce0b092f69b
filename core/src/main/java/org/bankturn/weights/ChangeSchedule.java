package org.bankturn.weights;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Says when each box has its engine change over to a version that was named.
 *
 * <p>An engine that changes takes nothing new meanwhile, and ends what it runs or breaks it off, so the others must carry its
 * load. Turns are spread evenly from when copies are whole until what the method leaves of the time, and go round the data
 * halls, so that in any part of the span about the same share of each hall's engines is changing. Every box computes its
 * own turn from what is published, so no word from a leader is needed, and a box that is late or gone holds nobody up.
 *
 * <p>ChangeSchedule is immutable and thread-safe.
 */
public final class ChangeSchedule {
    /** Copies on links with nothing in their way are whole by then; later copies shorten the span. */
    private static final double FIRST_SHARE = 0.42;

    private final long allowedMillis;
    private final ChangeMethod method;

    /** The place of a box among those of its hall, and then among all. */
    private record Place(int inHall, String hall, String box) {}

    /**
     * Returns the turns of a change.
     *
     * @param allowedMillis the time from the naming until every engine must have changed, more than 0
     * @param method how engines change, not null
     * @return the turns, not null
     * @throws IllegalArgumentException if no time is allowed
     */
    public static ChangeSchedule within(long allowedMillis, ChangeMethod method) {
        if (allowedMillis < 1) {
            throw new IllegalArgumentException("the time allowed must be 1 ms or more, not " + allowedMillis);
        }
        return new ChangeSchedule(allowedMillis, method);
    }

    private ChangeSchedule(long allowedMillis, ChangeMethod method) {
        this.allowedMillis = allowedMillis;
        this.method = method;
    }

    /**
     * Returns the turn of a box.
     *
     * <p>When a copy comes late, those of the other boxes are likely to have come late as well, by about as much; so their
     * turns are spread over the time that is left, and come at once when none is.
     *
     * @param box the box's name, not null
     * @param boxes all boxes that change, not null; a box that is not among them has the first turn
     * @param wholeMillis when the box's copy was whole, in milliseconds after the naming
     * @return milliseconds after the naming, not before the copy was whole
     */
    public long startMillis(String box, List<WeightsPeer> boxes, long wholeMillis) {
        List<String> order = order(boxes);
        double share = Math.max(0, order.indexOf(box)) / (double) Math.max(1, order.size() - 1);
        double whole = (double) wholeMillis;
        double first = Math.max(allowedMillis * FIRST_SHARE, whole);
        double last = Math.max(allowedMillis * method.latestStartShare(), whole);
        return Math.round(first + (last - first) * share);
    }

    /** Returns the boxes in the order of their turns: the first of each data hall, then the second of each. */
    private static List<String> order(List<WeightsPeer> boxes) {
        Map<String, Integer> seen = new HashMap<>();
        return boxes.stream()
                .sorted(Comparator.comparing(WeightsPeer::box))
                .map(box -> new Place(seen.merge(box.dataHall(), 1, Integer::sum), box.dataHall(), box.box()))
                .sorted(Comparator.comparingInt(Place::inHall).thenComparing(Place::hall))
                .map(Place::box)
                .toList();
    }

    @Override
    public String toString() {
        return "ChangeSchedule[" + allowedMillis + ", " + method + "]";
    }
}

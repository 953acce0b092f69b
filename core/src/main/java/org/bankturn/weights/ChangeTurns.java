package org.bankturn.weights;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Says when each box has its engine change over to a version that was named.
 *
 * <p>An engine that changes first ends what it runs and takes nothing new, so the others must carry its load. Turns are
 * spread evenly over a span, and go round the data halls, so that in any part of the span about the same share of each
 * hall's engines is changing. Every box computes its own turn from what is published, so no word from a leader is needed,
 * and a box that is late or gone holds nobody up.
 *
 * <p>ChangeTurns is immutable and thread-safe.
 */
public final class ChangeTurns {
    /** Copies on links with nothing in their way are whole by then; a box whose copy comes later changes at once. */
    private static final double FIRST_SHARE = 0.42;

    /** What is left after the last turn, a quarter of the time, is for the answers under way to end. */
    private static final double LAST_SHARE = 0.75;

    /** Boxes whose copies came late change that far apart, if time allows: engines load staged weights in about twice it. */
    private static final long APART_MILLIS = 150;

    private final long allowedMillis;

    /** The place of a box among those of its hall, and then among all. */
    private record Place(int inHall, String hall, String box) {}

    /**
     * Returns the turns of a change.
     *
     * @param allowedMillis the time from the naming until every engine must have changed, more than 0
     * @return the turns, not null
     * @throws IllegalArgumentException if no time is allowed
     */
    public static ChangeTurns within(long allowedMillis) {
        if (allowedMillis < 1) {
            throw new IllegalArgumentException("the time allowed must be 1 ms or more, not " + allowedMillis);
        }
        return new ChangeTurns(allowedMillis);
    }

    private ChangeTurns(long allowedMillis) {
        this.allowedMillis = allowedMillis;
    }

    /**
     * Returns the turn of a box.
     *
     * <p>When a copy comes late, those of the other boxes are likely to have come late as well; then boxes change one
     * after the other as long as time allows, and at once when it does not.
     *
     * @param box the box's name, not null
     * @param boxes all boxes that change, not null; a box that is not among them has the first turn
     * @param wholeMillis when the box's copy was whole, in milliseconds after the naming
     * @return milliseconds after the naming, not before the copy was whole
     */
    public long turnMillis(String box, List<PieceHolder> boxes, long wholeMillis) {
        List<String> order = order(boxes);
        int rank = Math.max(0, order.indexOf(box));
        long planned = plannedMillis(rank, order.size());
        if (wholeMillis <= planned) {
            return planned;
        }
        double left = Math.max(0, allowedMillis * LAST_SHARE - wholeMillis);
        double apart = Math.min(APART_MILLIS, left / Math.max(1, order.size()));
        return wholeMillis + Math.round(rank * apart);
    }

    private long plannedMillis(int rank, int boxes) {
        double share = rank / (double) Math.max(1, boxes - 1);
        return Math.round(allowedMillis * (FIRST_SHARE + (LAST_SHARE - FIRST_SHARE) * share));
    }

    /** Returns the boxes in the order of their turns: the first of each data hall, then the second of each. */
    private static List<String> order(List<PieceHolder> boxes) {
        Map<String, Integer> seen = new HashMap<>();
        return boxes.stream()
                .sorted(Comparator.comparing(PieceHolder::box))
                .map(box -> new Place(seen.merge(box.dataHall(), 1, Integer::sum), box.dataHall(), box.box()))
                .sorted(Comparator.comparingInt(Place::inHall).thenComparing(Place::hall))
                .map(Place::box)
                .toList();
    }

    @Override
    public String toString() {
        return "ChangeTurns[" + allowedMillis + "]";
    }
}

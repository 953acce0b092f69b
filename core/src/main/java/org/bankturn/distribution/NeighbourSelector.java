package org.bankturn.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.bankturn.configuration.Box;

/**
 * Selects the boxes with which a box exchanges chunks, mostly in its own hall.
 *
 * <p>The selection is seeded with the name of the box, so that the boxes form a stable random graph.
 */
public final class NeighbourSelector {
    /** The limit of neighbours in the box's own hall. */
    public static final int MAX_IN_OWN_HALL = 10;

    /** The limit of neighbours in other halls. */
    public static final int MAX_IN_OTHER_HALLS = 3;

    private NeighbourSelector() {}

    /**
     * Selects neighbours.
     *
     * @param self the box whose neighbours are selected, not null
     * @param allowed all boxes that may hold the same weights, not null
     * @return the neighbours, without {@code self}, not null
     */
    public static List<Box> select(Box self, List<Box> allowed) {
        List<Box> own = new ArrayList<>();
        List<Box> other = new ArrayList<>();
        for (Box box : allowed) {
            if (!box.name().equals(self.name())) {
                (box.dataHall().equals(self.dataHall()) ? own : other).add(box);
            }
        }
        Random random = new Random(self.name().hashCode());
        Collections.shuffle(own, random);
        Collections.shuffle(other, random);
        List<Box> selected = new ArrayList<>(own.subList(0, Math.min(MAX_IN_OWN_HALL, own.size())));
        selected.addAll(other.subList(0, Math.min(MAX_IN_OTHER_HALLS, other.size())));
        return selected;
    }
}

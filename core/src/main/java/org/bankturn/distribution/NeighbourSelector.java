package org.bankturn.distribution;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.bankturn.configuration.Box;

/**
 * Chooses the boxes that a box exchanges chunks with: most in its own hall, some in other allowed halls.
 *
 * <p>The choice is random but the same for the same box, so that the boxes form a fixed random graph.
 */
public final class NeighbourSelector {
    /** Neighbours in the own hall, at most. */
    public static final int MAX_IN_OWN_HALL = 10;

    /** Neighbours in other halls, at most. */
    public static final int MAX_IN_OTHER_HALLS = 3;

    private NeighbourSelector() {}

    /**
     * Chooses neighbours.
     *
     * @param self the box that chooses, not null
     * @param allowed every box that may hold the same weights, not null
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
        List<Box> chosen = new ArrayList<>(own.subList(0, Math.min(MAX_IN_OWN_HALL, own.size())));
        chosen.addAll(other.subList(0, Math.min(MAX_IN_OTHER_HALLS, other.size())));
        return chosen;
    }
}

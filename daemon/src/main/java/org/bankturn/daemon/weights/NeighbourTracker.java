package org.bankturn.daemon.weights;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceSource;

/**
 * What a copy of weights has learned about the boxes it fetches from: which do not answer, which hold nothing after all,
 * and how many transfers run from each.
 *
 * <p>NeighbourTracker is mutable and confined to one thread.
 */
final class NeighbourTracker {
    /** How long a box that did not answer is passed over. */
    private static final long AVOIDED_MILLIS = 2_000;

    /** Pieces that one box is asked for at a time, so that a frozen one does not take every slot. */
    private static final int TRANSFERS_FROM_ONE = 2;

    private final Clock clock;
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private final Map<String, Integer> transfers = new HashMap<>();
    private final Set<String> emptyNeighbours = new HashSet<>();

    NeighbourTracker(Clock clock) {
        this.clock = clock;
    }

    /** Keeps away from a box for a while, since it did not answer. */
    void avoid(String box) {
        avoidedUntilMillis.put(box, clock.millis() + AVOIDED_MILLIS);
    }

    boolean isAvoided(String box) {
        return clock.millis() < avoidedUntilMillis.getOrDefault(box, 0L);
    }

    /** Notes that a box does not hold the version, whatever is published of it. */
    void markEmpty(String box) {
        emptyNeighbours.add(box);
    }

    /** Returns the boxes that turned out to hold nothing, not null. */
    Set<String> emptyNeighbours() {
        return emptyNeighbours;
    }

    /** Returns the sources that it makes no sense to ask now, not null. */
    Set<PieceSource> excludedSources() {
        Set<PieceSource> unfit = new HashSet<>();
        avoidedUntilMillis.keySet().stream().filter(this::isAvoided).forEach(box -> {
            unfit.add(new PieceSource.Neighbour(box, true));
            unfit.add(new PieceSource.Neighbour(box, false));
        });
        return unfit;
    }

    void transferStarted(String box) {
        transfers.merge(box, 1, Integer::sum);
    }

    void transferEnded(String box) {
        transfers.merge(box, -1, Integer::sum);
    }

    int transfersFrom(String box) {
        return transfers.getOrDefault(box, 0);
    }

    /** Returns true if another transfer from that box may begin; a slow box then holds up few pieces. */
    boolean hasTransferSlot(String box) {
        return transfersFrom(box) < TRANSFERS_FROM_ONE;
    }

    int totalTransfers() {
        return transfers.values().stream().mapToInt(Integer::intValue).sum();
    }
}

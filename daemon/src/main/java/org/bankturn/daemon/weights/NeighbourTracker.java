package org.bankturn.daemon.weights;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceSource;

/**
 * Tracks the boxes that a copy of weights is fetched from: which do not respond, which do not hold the version, and how many
 * transfers run from each.
 *
 * <p>This class is mutable and confined to one thread.
 */
final class NeighbourTracker {
    /** How long a box that did not respond is skipped. */
    private static final long AVOID_MILLIS = 2_000;

    /** Limits concurrent transfers from one box, so that an unresponsive box cannot occupy every slot. */
    private static final int MAX_TRANSFERS_PER_BOX = 2;

    private final Clock clock;
    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();
    private final Map<String, Integer> transfers = new HashMap<>();
    private final Set<String> emptyNeighbours = new HashSet<>();

    NeighbourTracker(Clock clock) {
        this.clock = clock;
    }

    /** Excludes a box that did not respond for a while. */
    void avoid(String box) {
        avoidedUntilMillis.put(box, clock.millis() + AVOID_MILLIS);
    }

    boolean isAvoided(String box) {
        return clock.millis() < avoidedUntilMillis.getOrDefault(box, 0L);
    }

    /** Marks a box as not holding the version, although it is published as a holder. */
    void markEmpty(String box) {
        emptyNeighbours.add(box);
    }

    /** Returns the boxes marked as not holding the version, not null. */
    Set<String> emptyNeighbours() {
        return emptyNeighbours;
    }

    /** Returns the sources to skip at present, not null. */
    Set<PieceSource> excludedSources() {
        Set<PieceSource> excluded = new HashSet<>();
        avoidedUntilMillis.keySet().stream().filter(this::isAvoided).forEach(box -> {
            excluded.add(new PieceSource.Neighbour(box, true));
            excluded.add(new PieceSource.Neighbour(box, false));
        });
        return excluded;
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

    /** Returns true if another transfer from the box may start. */
    boolean hasTransferSlot(String box) {
        return transfersFrom(box) < MAX_TRANSFERS_PER_BOX;
    }

    int totalTransfers() {
        return transfers.values().stream().mapToInt(Integer::intValue).sum();
    }
}

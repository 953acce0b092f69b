package org.bankturn.daemon.weights;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the pieces of one copy by the source that gave them.
 *
 * <p>A copy that is slow although no source failed is often one whose pieces nearly all come from a single box, whose
 * link then is the bound. PieceSourceCounts is mutable and confined to its reactor's thread.
 */
final class PieceSourceCounts {
    private final Map<String, Integer> pieces = new TreeMap<>();

    /** Counts one piece that was taken from a source. */
    void add(String source) {
        pieces.merge(source, 1, Integer::sum);
    }

    /** Returns how many sources gave pieces. */
    int sourceCount() {
        return pieces.size();
    }

    /** Returns how many pieces a source gave. */
    int count(String source) {
        return pieces.getOrDefault(source, 0);
    }

    /** Returns the source that gave most pieces, empty if none gave any; of several the first by name. */
    String topSource() {
        return pieces.entrySet().stream()
                .max(Map.Entry.<String, Integer>comparingByValue()
                        .thenComparing(Map.Entry.comparingByKey(Comparator.reverseOrder())))
                .map(Map.Entry::getKey)
                .orElse("");
    }

    @Override
    public String toString() {
        return "PieceSourceCounts" + pieces;
    }
}

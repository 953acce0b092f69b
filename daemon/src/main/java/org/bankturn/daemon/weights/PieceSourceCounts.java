package org.bankturn.daemon.weights;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the pieces of one copy by source, which shows in the log whether a single link limited the copy.
 *
 * <p>This class is mutable and confined to its reactor's thread.
 */
final class PieceSourceCounts {
    private final Map<String, Integer> pieces = new TreeMap<>();

    /** Counts one piece from a source. */
    void add(String source) {
        pieces.merge(source, 1, Integer::sum);
    }

    /** Returns the number of sources with at least one piece. */
    int sourceCount() {
        return pieces.size();
    }

    /** Returns the number of pieces from a source. */
    int count(String source) {
        return pieces.getOrDefault(source, 0);
    }

    /** Returns the source of most pieces, ties resolved by name; an empty string if there are no pieces. */
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

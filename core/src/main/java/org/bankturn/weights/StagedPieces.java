package org.bankturn.weights;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * The pieces that lie staged at an engine, as a process finds them that has not staged them itself.
 *
 * <p>A process stages no other version while a start order is unanswered. So its successor can tell from the staged pieces
 * which order the engine may still execute: one for the version that they belong to, or none if a piece is missing or if
 * they belong to several versions. A few pieces that belong to no known version were altered since they were staged; more
 * of them show a copy that had not been staged whole, over an older version.
 *
 * <p>StagedPieces is immutable and thread-safe.
 */
public final class StagedPieces {
    private static final String MISSING = "";

    /** More altered pieces than one of so many are taken for those of an older version. */
    private static final int PIECES_PER_ALTERED = 8;

    private final String[] digests;

    /**
     * Returns staged pieces, not null.
     *
     * @param digests the SHA-256 of each piece of the layout, in lower-case hexadecimal; empty for a piece that is missing
     */
    public static StagedPieces of(List<String> digests) {
        return new StagedPieces(digests);
    }

    private StagedPieces(List<String> digests) {
        this.digests = digests.toArray(String[]::new);
        Arrays.stream(this.digests).forEach(digest -> Objects.requireNonNull(digest, "digest"));
    }

    /**
     * Returns which start order of a former process the engine may still execute, not null.
     *
     * @param manifests the digests of the pieces of each known version, not null
     * @param heldVersion the version that the engine holds, 0 for none; an order for it or for an older one has no effect
     * @param newestVersion the newest version that an order may name
     */
    public FormerStart formerStart(Map<Integer, List<String>> manifests, int heldVersion, int newestVersion) {
        if (isIncomplete()) {
            return FormerStart.none();
        }
        Optional<Integer> whole = newest(manifests, version -> matching(manifests.get(version)) == digests.length);
        if (whole.isPresent()) {
            return whole.get() > heldVersion ? FormerStart.of(whole.get()) : FormerStart.none();
        }
        if (!knowsAll(manifests, heldVersion, newestVersion)) {
            return FormerStart.unknown();
        }
        return newest(manifests, version -> version > heldVersion && isAltered(version, manifests))
                .map(FormerStart::of)
                .orElseGet(FormerStart::none);
    }

    private boolean isIncomplete() {
        return Arrays.asList(digests).contains(MISSING);
    }

    private static Optional<Integer> newest(Map<Integer, List<String>> manifests, Predicate<Integer> condition) {
        return manifests.keySet().stream().filter(condition).max(Comparator.naturalOrder());
    }

    private static boolean knowsAll(Map<Integer, List<String>> manifests, int heldVersion, int newestVersion) {
        long known = manifests.keySet().stream()
                .filter(version -> version > heldVersion && version <= newestVersion)
                .count();
        return known == newestVersion - heldVersion;
    }

    /** Returns true if all pieces are those of a version, but for a few that belong to no known version. */
    private boolean isAltered(int version, Map<Integer, List<String>> manifests) {
        long matching = matching(manifests.get(version));
        long altered = digests.length - matching;
        return altered * PIECES_PER_ALTERED <= digests.length && matching == recognised(manifests);
    }

    private long recognised(Map<Integer, List<String>> manifests) {
        return count(piece -> manifests.values().stream().anyMatch(manifest -> matches(manifest, piece)));
    }

    private long matching(List<String> manifest) {
        return count(piece -> matches(manifest, piece));
    }

    private long count(IntPredicate condition) {
        return IntStream.range(0, digests.length).filter(condition).count();
    }

    private boolean matches(List<String> manifest, int piece) {
        return piece < manifest.size() && manifest.get(piece).equalsIgnoreCase(digests[piece]);
    }
}

package org.bankturn.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Says where one box fetches each piece of a version from.
 *
 * <p>Every box computes the same plan without talking: by rendezvous hashing, each piece has one box that fetches it from
 * the origin, and in each other data hall one box that fetches it from there; the rest ask the box of their own hall. So
 * the origin sends one copy and each hall takes one in. Boxes that hold the version already are asked first, and a
 * source that failed is passed over by the attempt number.
 *
 * <p>PieceRouting is immutable and thread-safe.
 */
public final class PieceRouting {
    private final PieceHolder self;
    private final List<PieceHolder> boxes;
    private final int version;

    /** Returns the plan of one box, not null. */
    public static PieceRouting of(PieceHolder self, List<PieceHolder> boxes, int version) {
        return new PieceRouting(self, boxes, version);
    }

    private PieceRouting(PieceHolder self, List<PieceHolder> boxes, int version) {
        this.self = self;
        this.boxes = List.copyOf(boxes);
        this.version = version;
    }

    /**
     * Returns where to fetch a piece from.
     *
     * @param piece the piece
     * @param attempt 0 at first, one more after each failure
     */
    public PieceSource sourceOf(int piece, int attempt) {
        List<PieceSource> sources = sourcesOf(piece);
        return sources.get(Math.min(attempt, sources.size() - 1));
    }

    /** Returns the sources of a piece, best first; the origin is the last resort. */
    public List<PieceSource> sourcesOf(int piece) {
        List<PieceSource> sources = new ArrayList<>();
        addBest(sources, piece, box -> isOther(box) && holds(box) && inOwnHall(box));
        Optional<PieceHolder> first = best(piece, box -> true);
        boolean anyHolds = boxes.stream().anyMatch(box -> isOther(box) && holds(box));
        boolean fetchesFromOrigin = first.filter(self::equals).isPresent() && !anyHolds;
        if (!fetchesFromOrigin) {
            Optional<PieceHolder> ofHall = best(piece, this::inOwnHall);
            boolean fetchesForHall = ofHall.filter(self::equals).isPresent();
            if (!fetchesForHall) {
                ofHall.ifPresent(box -> add(sources, box));
            }
            addBest(sources, piece, box -> isOther(box) && holds(box));
            first.filter(this::isOther).ifPresent(box -> add(sources, box));
            addBest(sources, piece + 1, box -> isOther(box) && holds(box));
            addBest(sources, piece + 1, box -> isOther(box) && inOwnHall(box));
        }
        sources.add(new PieceSource.Origin());
        return sources;
    }

    private void addBest(List<PieceSource> sources, int piece, java.util.function.Predicate<PieceHolder> which) {
        best(piece, which).ifPresent(box -> add(sources, box));
    }

    private static void add(List<PieceSource> sources, PieceHolder box) {
        PieceSource source = new PieceSource.Neighbour(box.box());
        if (!sources.contains(source)) {
            sources.add(source);
        }
    }

    private Optional<PieceHolder> best(int piece, java.util.function.Predicate<PieceHolder> which) {
        return boxes.stream().filter(which).max(Comparator.comparingLong(box -> rank(box, piece)));
    }

    private boolean isOther(PieceHolder box) {
        return !box.box().equals(self.box());
    }

    private boolean holds(PieceHolder box) {
        return box.heldVersion() == version;
    }

    private boolean inOwnHall(PieceHolder box) {
        return box.dataHall().equals(self.dataHall());
    }

    private static long rank(PieceHolder box, int piece) {
        long mixed = box.box().hashCode() * 0x9E3779B97F4A7C15L + piece * 0xC2B2AE3D27D4EB4FL;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return (mixed ^ (mixed >>> 31)) >>> 1;
    }
}

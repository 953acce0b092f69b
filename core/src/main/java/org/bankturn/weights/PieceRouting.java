package org.bankturn.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Says where one box fetches each piece of a version from.
 *
 * <p>Every box computes the same plan without talking. Pieces are dealt out in turn: each has one box that fetches it from
 * the origin, and in each other data hall one box that fetches it from there; the rest ask the box of their own hall. So
 * the origin sends one copy, each hall takes one in, and every box hands on about as much as it takes. Boxes that hold the
 * version already are asked first, and a source that failed is passed over by the attempt number.
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
        this.boxes =
                boxes.stream().sorted(Comparator.comparing(PieceHolder::box)).toList();
        this.version = version;
    }

    /**
     * Returns where to fetch a piece from.
     *
     * <p>The plan may change between two failures, so these are told apart by source and not counted: a box that was
     * wrongly thought to hold the piece may well be the one to wait for later.
     *
     * @param piece the piece
     * @param failed the sources that failed for it, not null
     */
    public PieceSource sourceOf(int piece, Set<PieceSource> failed) {
        return sourcesOf(piece).stream()
                .filter(source -> !failed.contains(source))
                .findFirst()
                .orElse(new PieceSource.Origin());
    }

    /**
     * Returns the sources of a piece, best first; the origin is the last resort.
     *
     * <p>Boxes wait only for the box of their hall, and that one only for the box that goes to the origin, whatever
     * attempt they are at; so no two ever wait for each other.
     */
    public List<PieceSource> sourcesOf(int piece) {
        List<PieceSource> sources = new ArrayList<>();
        addBest(sources, piece, box -> isOther(box) && holds(box) && inOwnHall(box));
        addBest(sources, piece, box -> isOther(box) && holds(box));
        Optional<PieceHolder> first = originFetcher(piece);
        if (first.filter(this::isOther).isPresent()) {
            hallFetcher(piece, self.dataHall()).filter(this::isOther).ifPresent(box -> add(sources, box));
            add(sources, first.get());
        }
        sources.add(new PieceSource.Origin());
        return sources;
    }

    private void addBest(List<PieceSource> sources, int piece, Predicate<PieceHolder> which) {
        dealt(piece, which).ifPresent(box -> add(sources, box));
    }

    private void add(List<PieceSource> sources, PieceHolder box) {
        PieceSource source = new PieceSource.Neighbour(box.box(), holds(box));
        if (!sources.contains(source)) {
            sources.add(source);
        }
    }

    /** Returns the box that fetches a piece from the origin: that of a hall that takes its turn. */
    private Optional<PieceHolder> originFetcher(int piece) {
        List<String> halls =
                boxes.stream().map(PieceHolder::dataHall).distinct().sorted().toList();
        if (halls.isEmpty()) {
            return Optional.empty();
        }
        String hall = halls.get(Math.floorMod(piece, halls.size()));
        return hallFetcher(piece, hall);
    }

    /** Returns the box that fetches a piece into a hall. */
    private Optional<PieceHolder> hallFetcher(int piece, String hall) {
        int halls = (int) boxes.stream().map(PieceHolder::dataHall).distinct().count();
        return dealt(
                Math.floorDiv(piece, Math.max(1, halls)), box -> box.dataHall().equals(hall));
    }

    /** Returns the box, among some, that a number falls on. */
    private Optional<PieceHolder> dealt(int number, Predicate<PieceHolder> which) {
        List<PieceHolder> some = boxes.stream().filter(which).toList();
        return some.isEmpty() ? Optional.empty() : Optional.of(some.get(Math.floorMod(number, some.size())));
    }

    private boolean isSelf(PieceHolder box) {
        return box.box().equals(self.box());
    }

    private boolean isOther(PieceHolder box) {
        return !isSelf(box);
    }

    private boolean holds(PieceHolder box) {
        return box.heldVersion() == version;
    }

    private boolean inOwnHall(PieceHolder box) {
        return box.dataHall().equals(self.dataHall());
    }
}

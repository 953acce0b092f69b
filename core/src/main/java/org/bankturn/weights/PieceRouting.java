package org.bankturn.weights;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

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
    private final int mostFetchers;

    /**
     * Returns the plan of one box, not null.
     *
     * @param self the box, not null
     * @param boxes all boxes that take part, not null
     * @param version the version that is distributed
     * @param mostFetchers about how many boxes may fetch from the origin, which takes few connections
     */
    public static PieceRouting of(PieceHolder self, List<PieceHolder> boxes, int version, int mostFetchers) {
        if (mostFetchers < 1) {
            throw new IllegalArgumentException("fetchers must be 1 or more, not " + mostFetchers);
        }
        return new PieceRouting(self, boxes, version, mostFetchers);
    }

    private PieceRouting(PieceHolder self, List<PieceHolder> boxes, int version, int mostFetchers) {
        this.self = self;
        this.mostFetchers = mostFetchers;
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
     * <p>Boxes that hold the version come first. Then come the box that fetches the piece into the hall, the one that
     * fetches it from the origin, and a deputy of each for the case that it does not answer. A box waits only for boxes
     * that come before it in that order, so no two ever wait for each other.
     */
    public List<PieceSource> sourcesOf(int piece) {
        List<PieceSource> sources = new ArrayList<>();
        holdersNearby(piece).forEach(sources::add);
        dealt(piece, box -> isOther(box) && holds(box)).ifPresent(box -> add(sources, box));
        int ownRank = rankOf(self, piece);
        for (int deputy = 0; deputy < 2; deputy++) {
            hallFetcher(piece, self.dataHall(), deputy).ifPresent(box -> addIfBefore(sources, box, piece, ownRank));
            originFetcher(piece, deputy).ifPresent(box -> addIfBefore(sources, box, piece, ownRank));
        }
        sources.add(new PieceSource.Origin());
        return sources;
    }

    /** Returns the other boxes of the hall that hold the version, in an order that differs by piece, not null. */
    public List<PieceSource.Neighbour> holdersNearby(int piece) {
        return rotated(piece, box -> isOther(box) && holds(box) && inOwnHall(box)).stream()
                .map(this::neighbour)
                .toList();
    }

    /**
     * Returns a box of the hall to ask besides the one whose turn it is; it may well have the piece by then.
     *
     * @param piece the piece
     * @param turn how often a box was asked besides
     */
    public Optional<PieceSource.Neighbour> alternate(int piece, int turn) {
        return dealt(piece + turn, box -> isOther(box) && inOwnHall(box)).map(this::neighbour);
    }

    /** Returns a box's place among those that a piece passes: a lower one never waits for a higher one. */
    private int rankOf(PieceHolder box, int piece) {
        List<Optional<String>> order = Stream.of(
                        originFetcher(piece, 0),
                        originFetcher(piece, 1),
                        hallFetcher(piece, box.dataHall(), 0),
                        hallFetcher(piece, box.dataHall(), 1))
                .map(each -> each.map(PieceHolder::box))
                .toList();
        int rank = order.indexOf(Optional.of(box.box()));
        return rank < 0 ? order.size() : rank;
    }

    private void addIfBefore(List<PieceSource> sources, PieceHolder box, int piece, int ownRank) {
        if (isOther(box) && rankOf(box, piece) < ownRank) {
            add(sources, box);
        }
    }

    private void add(List<PieceSource> sources, PieceHolder box) {
        PieceSource source = neighbour(box);
        if (!sources.contains(source)) {
            sources.add(source);
        }
    }

    private PieceSource.Neighbour neighbour(PieceHolder box) {
        return new PieceSource.Neighbour(box.box(), holds(box));
    }

    /** Returns the box that fetches a piece from the origin, or its deputy: that of a hall that takes its turn. */
    private Optional<PieceHolder> originFetcher(int piece, int deputy) {
        List<String> halls =
                boxes.stream().map(PieceHolder::dataHall).distinct().sorted().toList();
        if (halls.isEmpty()) {
            return Optional.empty();
        }
        String hall = halls.get(Math.floorMod(piece + deputy, halls.size()));
        List<PieceHolder> some =
                boxes.stream().filter(box -> box.dataHall().equals(hall)).toList();
        int fetchers = Math.min(some.size(), Math.max(1, mostFetchers / halls.size()));
        int turn = Math.floorDiv(piece, halls.size()) + (halls.size() == 1 ? deputy : 0);
        return Optional.of(some.get(Math.floorMod(turn, fetchers)));
    }

    /** Returns the box that fetches a piece into a hall, or its deputy. */
    private Optional<PieceHolder> hallFetcher(int piece, String hall, int deputy) {
        int halls = (int) boxes.stream().map(PieceHolder::dataHall).distinct().count();
        return dealt(
                Math.floorDiv(piece, Math.max(1, halls)) + deputy,
                box -> box.dataHall().equals(hall));
    }

    /** Returns the box, among some, that a number falls on. */
    private Optional<PieceHolder> dealt(int number, Predicate<PieceHolder> which) {
        return rotated(number, which).stream().findFirst();
    }

    /** Returns some of the boxes, beginning with the one that a number falls on. */
    private List<PieceHolder> rotated(int number, Predicate<PieceHolder> which) {
        List<PieceHolder> some = new ArrayList<>(boxes.stream().filter(which).toList());
        if (!some.isEmpty()) {
            Collections.rotate(some, -Math.floorMod(number, some.size()));
        }
        return some;
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

package org.bankturn.weights;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Says where one box fetches each piece of a version from.
 *
 * <p>Every box computes the same plan without talking. Pieces are dealt out in turn: each has one box that fetches it from
 * the origin, and in each other data hall one box that fetches it from there; the rest ask the box of their own hall. So
 * the origin sends one copy, each hall takes one in, and every box hands on about as much as it takes. Boxes that hold the
 * version already are asked first, and a source that failed is passed over by the attempt number.
 *
 * <p>Where there are relays, processes on wider links that keep pieces in memory, they deal the pieces out among
 * themselves by a plan of the same kind, and a box asks the relays of its own hall before anything else.
 *
 * <p>PieceRouting is immutable and thread-safe.
 */
public final class PieceRouting {
    /** The number under which the manifest travels; a box that holds a version already may lack its manifest. */
    public static final int MANIFEST = -1;

    private final WeightsPeer self;
    private final List<WeightsPeer> boxes;
    private final List<WeightsPeer> possibleHolders;
    private final int version;
    private final int mostFetchers;
    private final List<String> halls;
    private final Map<String, List<WeightsPeer>> boxesOfHall;
    private final List<WeightsPeer> holders;
    private final List<WeightsPeer> holdersNearby;

    /** The plan that relays follow, as this box sees it; null if there are none. */
    private final PieceRouting relayPlan;

    /**
     * Returns the plan of one box, not null.
     *
     * @param self the box, not null
     * @param boxes all boxes that take part, not null
     * @param version the version that is distributed
     * @param mostFetchers about how many boxes may fetch from the origin, which takes few connections
     */
    public static PieceRouting of(WeightsPeer self, List<WeightsPeer> boxes, int version, int mostFetchers) {
        if (mostFetchers < 1) {
            throw new IllegalArgumentException("fetchers must be 1 or more, not " + mostFetchers);
        }
        return new PieceRouting(self, boxes, version, mostFetchers, boxes, null);
    }

    private PieceRouting(
            WeightsPeer self,
            List<WeightsPeer> boxes,
            int version,
            int mostFetchers,
            List<WeightsPeer> possibleHolders,
            PieceRouting relayPlan) {
        this.self = self;
        this.possibleHolders = List.copyOf(possibleHolders);
        this.relayPlan = relayPlan;
        this.mostFetchers = mostFetchers;
        this.version = version;
        this.boxes =
                boxes.stream().sorted(Comparator.comparing(WeightsPeer::box)).toList();
        this.boxesOfHall = this.boxes.stream().collect(Collectors.groupingBy(WeightsPeer::dataHall));
        this.halls = boxesOfHall.keySet().stream().sorted().toList();
        this.holders = this.possibleHolders.stream()
                .sorted(Comparator.comparing(WeightsPeer::box))
                .filter(box -> isOther(box) && holds(box))
                .toList();
        this.holdersNearby = holders.stream().filter(this::inOwnHall).toList();
    }

    /**
     * Returns this plan as it is when some boxes hold nothing, whatever is published of them.
     *
     * @param empty the names of these boxes, not null
     */
    public PieceRouting withoutHolders(Set<String> empty) {
        return new PieceRouting(
                self, emptied(boxes, empty), version, mostFetchers, emptied(possibleHolders, empty), relayPlan);
    }

    private static List<WeightsPeer> emptied(List<WeightsPeer> some, Set<String> empty) {
        return some.stream()
                .map(box -> empty.contains(box.box()) ? new WeightsPeer(box.box(), box.dataHall(), 0) : box)
                .toList();
    }

    /**
     * Returns this plan for a box that may ask relays.
     *
     * @param relays all relays, not null; none of them is a box of this plan
     */
    public PieceRouting withRelays(List<WeightsPeer> relays) {
        PieceRouting plan = relays.isEmpty() ? null : PieceRouting.of(self, relays, version, mostFetchers);
        return new PieceRouting(self, boxes, version, mostFetchers, possibleHolders, plan);
    }

    /**
     * Returns this plan as it is when boxes outside it may hold the version as well.
     *
     * @param others these boxes, not null
     */
    public PieceRouting withPossibleHolders(List<WeightsPeer> others) {
        return new PieceRouting(self, boxes, version, mostFetchers, others, relayPlan);
    }

    /** Returns true if this box is the one that fetches a piece into its data hall. */
    public boolean isHallFetcher(int piece) {
        return hallFetcher(piece, self.dataHall(), 0).filter(this::isSelf).isPresent();
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
     * <p>Relays of the own hall come first, then boxes that hold the version. Then come the box that fetches the piece
     * into the hall, the one that fetches it from the origin, and a deputy of each for the case that it does not answer. A
     * box waits only for boxes that come before it in that order, so no two ever wait for each other.
     */
    public List<PieceSource> sourcesOf(int piece) {
        List<PieceSource> sources = new ArrayList<>();
        relaysFor(piece).forEach(relay -> add(sources, relay));
        if (piece != MANIFEST) {
            holdersNearby(piece).forEach(sources::add);
            dealt(piece, holders).ifPresent(box -> add(sources, box));
        }
        int ownRank = rankOf(self, piece);
        for (int deputy = 0; deputy < 2; deputy++) {
            hallFetcher(piece, self.dataHall(), deputy).ifPresent(box -> addIfBefore(sources, box, piece, ownRank));
            originFetcher(piece, deputy).ifPresent(box -> addIfBefore(sources, box, piece, ownRank));
        }
        sources.add(new PieceSource.Origin());
        return sources;
    }

    /** Returns true if there is a relay in this box's hall. */
    public boolean hasRelays() {
        return !relaysFor(0).isEmpty();
    }

    /** Returns the relay that fetches a piece into this box's hall, and its deputy. */
    private List<WeightsPeer> relaysFor(int piece) {
        if (relayPlan == null) {
            return List.of();
        }
        return Stream.of(0, 1)
                .flatMap(deputy -> relayPlan.hallFetcher(piece, self.dataHall(), deputy).stream())
                .distinct()
                .toList();
    }

    /** Returns the other boxes of the hall that hold the version, in an order that differs by piece, not null. */
    public List<PieceSource.Neighbour> holdersNearby(int piece) {
        return rotated(piece, holdersNearby).stream().map(this::neighbour).toList();
    }

    /**
     * Returns a box of the hall to ask besides the one whose turn it is; it may well have the piece by then.
     *
     * @param piece the piece
     * @param turn how often a box was asked besides
     */
    public Optional<PieceSource.Neighbour> alternateNeighbour(int piece, int turn) {
        List<WeightsPeer> others =
                boxesOf(self.dataHall()).stream().filter(this::isOther).toList();
        return dealt(piece + turn, others).map(this::neighbour);
    }

    /** Returns a box's place among those that a piece passes: a lower one never waits for a higher one. */
    private int rankOf(WeightsPeer box, int piece) {
        List<Optional<String>> order = Stream.of(
                        originFetcher(piece, 0),
                        originFetcher(piece, 1),
                        hallFetcher(piece, box.dataHall(), 0),
                        hallFetcher(piece, box.dataHall(), 1))
                .map(each -> each.map(WeightsPeer::box))
                .toList();
        int rank = order.indexOf(Optional.of(box.box()));
        return rank < 0 ? order.size() : rank;
    }

    private void addIfBefore(List<PieceSource> sources, WeightsPeer box, int piece, int ownRank) {
        boolean mayHave = piece != MANIFEST || !holds(box);
        if (mayHave && isOther(box) && rankOf(box, piece) < ownRank) {
            add(sources, box);
        }
    }

    private void add(List<PieceSource> sources, WeightsPeer box) {
        PieceSource source = neighbour(box);
        if (!sources.contains(source)) {
            sources.add(source);
        }
    }

    private PieceSource.Neighbour neighbour(WeightsPeer box) {
        return new PieceSource.Neighbour(box.box(), holds(box));
    }

    /** Returns the box that fetches a piece from the origin, or its deputy: that of a hall that takes its turn. */
    private Optional<WeightsPeer> originFetcher(int piece, int deputy) {
        if (halls.isEmpty()) {
            return Optional.empty();
        }
        String hall = halls.get(Math.floorMod(piece + deputy, halls.size()));
        List<WeightsPeer> some = boxesOf(hall);
        int fetchers = Math.min(some.size(), Math.max(1, mostFetchers / halls.size()));
        int turn = Math.floorDiv(piece, halls.size()) + (halls.size() == 1 ? deputy : 0);
        return dealt(turn, some.subList(0, fetchers));
    }

    /** Returns the box that fetches a piece into a hall, or its deputy. */
    private Optional<WeightsPeer> hallFetcher(int piece, String hall, int deputy) {
        return dealt(Math.floorDiv(piece, Math.max(1, halls.size())) + deputy, boxesOf(hall));
    }

    private List<WeightsPeer> boxesOf(String hall) {
        return boxesOfHall.getOrDefault(hall, List.of());
    }

    /** Returns the box, among some, that a number falls on. */
    private static Optional<WeightsPeer> dealt(int number, List<WeightsPeer> some) {
        return some.isEmpty() ? Optional.empty() : Optional.of(some.get(Math.floorMod(number, some.size())));
    }

    /** Returns some of the boxes, beginning with the one that a number falls on. */
    private static List<WeightsPeer> rotated(int number, List<WeightsPeer> some) {
        List<WeightsPeer> turned = new ArrayList<>(some);
        if (!turned.isEmpty()) {
            Collections.rotate(turned, -Math.floorMod(number, turned.size()));
        }
        return turned;
    }

    private boolean isSelf(WeightsPeer box) {
        return box.box().equals(self.box());
    }

    private boolean isOther(WeightsPeer box) {
        return !isSelf(box);
    }

    private boolean holds(WeightsPeer box) {
        return box.heldVersion() == version;
    }

    private boolean inOwnHall(WeightsPeer box) {
        return box.dataHall().equals(self.dataHall());
    }
}

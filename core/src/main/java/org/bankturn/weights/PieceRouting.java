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
 * Determines from which source one box fetches each piece of a version.
 *
 * <p>Every box computes the same routing without coordination. Pieces are assigned round-robin: for each piece one box fetches
 * it from the origin, one box in every other data hall fetches it from that box, and the rest fetch it from the assigned box
 * of their own hall. So the origin sends one copy, each hall receives one copy, and every box uploads about as much as it
 * downloads. Boxes that already hold the version are preferred, and failed sources are skipped.
 *
 * <p>Relays are processes on faster links that cache pieces in memory. They partition the pieces among themselves by a routing
 * of the same kind, and a box prefers the relays of its own hall to any other source.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class PieceRouting {
    /** The piece number of the manifest; a box that holds a version may lack its manifest. */
    public static final int MANIFEST = -1;

    private final WeightsPeer self;
    private final List<WeightsPeer> boxes;
    private final List<WeightsPeer> possibleHolders;
    private final int version;
    private final int maxFetchers;
    private final List<String> halls;
    private final Map<String, List<WeightsPeer>> boxesOfHall;
    private final List<WeightsPeer> holders;
    private final List<WeightsPeer> holdersNearby;

    /** The routing among the relays; null if there are none. */
    private final PieceRouting relayRouting;

    /**
     * Returns the routing of one box, not null.
     *
     * @param self the box, not null
     * @param boxes all boxes that take part, not null
     * @param version the version that is distributed
     * @param maxFetchers the approximate limit of boxes that fetch from the origin, at least 1
     */
    public static PieceRouting of(WeightsPeer self, List<WeightsPeer> boxes, int version, int maxFetchers) {
        if (maxFetchers < 1) {
            throw new IllegalArgumentException("maxFetchers must be positive: " + maxFetchers);
        }
        return new PieceRouting(self, boxes, version, maxFetchers, boxes, null);
    }

    private PieceRouting(
            WeightsPeer self,
            List<WeightsPeer> boxes,
            int version,
            int maxFetchers,
            List<WeightsPeer> possibleHolders,
            PieceRouting relayRouting) {
        this.self = self;
        this.possibleHolders = List.copyOf(possibleHolders);
        this.relayRouting = relayRouting;
        this.maxFetchers = maxFetchers;
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
     * Returns this routing with the given boxes not treated as holders of the version.
     *
     * @param empty the names of the boxes that do not hold the version, not null
     */
    public PieceRouting withoutHolders(Set<String> empty) {
        return new PieceRouting(
                self,
                withoutVersion(boxes, empty),
                version,
                maxFetchers,
                withoutVersion(possibleHolders, empty),
                relayRouting);
    }

    private static List<WeightsPeer> withoutVersion(List<WeightsPeer> candidates, Set<String> empty) {
        return candidates.stream()
                .map(box -> empty.contains(box.box()) ? new WeightsPeer(box.box(), box.dataHall(), 0) : box)
                .toList();
    }

    /**
     * Returns this routing with relays as preferred sources.
     *
     * @param relays all relays, not null; none of them is among the boxes of this routing
     */
    public PieceRouting withRelays(List<WeightsPeer> relays) {
        PieceRouting relayRouting = relays.isEmpty() ? null : PieceRouting.of(self, relays, version, maxFetchers);
        return new PieceRouting(self, boxes, version, maxFetchers, possibleHolders, relayRouting);
    }

    /**
     * Returns this routing with other boxes, outside it, as the possible holders of the version.
     *
     * @param others the possible holders, not null
     */
    public PieceRouting withPossibleHolders(List<WeightsPeer> others) {
        return new PieceRouting(self, boxes, version, maxFetchers, others, relayRouting);
    }

    /** Returns true if this box is assigned to fetch a piece into its data hall. */
    public boolean isHallFetcher(int piece) {
        return hallFetcher(piece, self.dataHall(), 0).filter(this::isSelf).isPresent();
    }

    /**
     * Returns the best source of a piece that has not failed.
     *
     * <p>Failures are tracked by source instead of counted, because the routing may change between attempts: a box that
     * failed as a holder may still be a valid source to poll.
     *
     * @param piece the piece
     * @param failed the sources that failed for the piece, not null
     */
    public PieceSource sourceOf(int piece, Set<PieceSource> failed) {
        return sourcesOf(piece).stream()
                .filter(source -> !failed.contains(source))
                .findFirst()
                .orElse(new PieceSource.Origin());
    }

    /**
     * Returns the sources of a piece in order of preference, with the origin last.
     *
     * <p>Relays of the own hall come first, then holders of the version, then the box assigned to fetch the piece into the
     * hall, the box assigned to fetch it from the origin, and a deputy of each. A box polls only boxes of a lower rank, which
     * rules out circular waits.
     */
    public List<PieceSource> sourcesOf(int piece) {
        List<PieceSource> sources = new ArrayList<>();
        relaysFor(piece).forEach(relay -> addNeighbour(sources, relay));
        if (piece != MANIFEST) {
            holdersNearby(piece).forEach(sources::add);
            assigned(piece, holders).ifPresent(box -> addNeighbour(sources, box));
        }
        int ownRank = rankOf(self, piece);
        for (int deputy = 0; deputy < 2; deputy++) {
            hallFetcher(piece, self.dataHall(), deputy).ifPresent(box -> addIfLowerRank(sources, box, piece, ownRank));
            originFetcher(piece, deputy).ifPresent(box -> addIfLowerRank(sources, box, piece, ownRank));
        }
        sources.add(new PieceSource.Origin());
        return sources;
    }

    /** Returns true if this box's hall has a relay. */
    public boolean hasRelays() {
        return !relaysFor(0).isEmpty();
    }

    /** Returns the relay assigned to fetch a piece into this box's hall, and its deputy. */
    private List<WeightsPeer> relaysFor(int piece) {
        if (relayRouting == null) {
            return List.of();
        }
        return Stream.of(0, 1)
                .flatMap(deputy -> relayRouting.hallFetcher(piece, self.dataHall(), deputy).stream())
                .distinct()
                .toList();
    }

    /** Returns the other holders in the hall, rotated by piece to balance load, not null. */
    public List<PieceSource.Neighbour> holdersNearby(int piece) {
        return rotated(piece, holdersNearby).stream().map(this::neighbour).toList();
    }

    /**
     * Returns another box of the hall to poll instead of the assigned one, empty if there is none.
     *
     * @param piece the piece
     * @param attempt the number of earlier alternates for the piece
     */
    public Optional<PieceSource.Neighbour> alternateNeighbour(int piece, int attempt) {
        List<WeightsPeer> others =
                boxesOf(self.dataHall()).stream().filter(this::isOther).toList();
        return assigned(piece + attempt, others).map(this::neighbour);
    }

    /** Returns a box's rank on the path of a piece; a box polls only boxes of a lower rank. */
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

    private void addIfLowerRank(List<PieceSource> sources, WeightsPeer box, int piece, int ownRank) {
        boolean mayHave = piece != MANIFEST || !holds(box);
        if (mayHave && isOther(box) && rankOf(box, piece) < ownRank) {
            addNeighbour(sources, box);
        }
    }

    private void addNeighbour(List<PieceSource> sources, WeightsPeer box) {
        PieceSource source = neighbour(box);
        if (!sources.contains(source)) {
            sources.add(source);
        }
    }

    private PieceSource.Neighbour neighbour(WeightsPeer box) {
        return new PieceSource.Neighbour(box.box(), holds(box));
    }

    /** Returns the box assigned to fetch a piece from the origin, or its deputy; halls alternate by piece. */
    private Optional<WeightsPeer> originFetcher(int piece, int deputy) {
        if (halls.isEmpty()) {
            return Optional.empty();
        }
        String hall = halls.get(Math.floorMod(piece + deputy, halls.size()));
        List<WeightsPeer> candidates = boxesOf(hall);
        int fetchers = Math.min(candidates.size(), Math.max(1, maxFetchers / halls.size()));
        int index = Math.floorDiv(piece, halls.size()) + (halls.size() == 1 ? deputy : 0);
        return assigned(index, candidates.subList(0, fetchers));
    }

    /** Returns the box assigned to fetch a piece into a hall, or its deputy. */
    private Optional<WeightsPeer> hallFetcher(int piece, String hall, int deputy) {
        return assigned(Math.floorDiv(piece, Math.max(1, halls.size())) + deputy, boxesOf(hall));
    }

    private List<WeightsPeer> boxesOf(String hall) {
        return boxesOfHall.getOrDefault(hall, List.of());
    }

    /** Returns the box at an index modulo the number of boxes, empty if there are none. */
    private static Optional<WeightsPeer> assigned(int index, List<WeightsPeer> candidates) {
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(index, candidates.size())));
    }

    /** Returns the boxes rotated to begin at an index modulo their number. */
    private static List<WeightsPeer> rotated(int index, List<WeightsPeer> candidates) {
        List<WeightsPeer> rotated = new ArrayList<>(candidates);
        if (!rotated.isEmpty()) {
            Collections.rotate(rotated, -Math.floorMod(index, rotated.size()));
        }
        return rotated;
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

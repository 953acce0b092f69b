package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.NamedWeights;
import org.bankturn.service.Service;
import org.bankturn.service.WeightsLayout;
import org.bankturn.weights.PieceHolder;
import org.bankturn.weights.PieceRouting;

/**
 * Keeps pieces of weights in memory and hands them to the boxes of its data hall.
 *
 * <p>The boxes of targets have narrow links, which answers share; entry boxes have wide ones. Relays deal the pieces of a
 * version out among themselves, so that the origin sends each once, and each data hall takes each in once. A version that
 * a box asks for is fetched as well, whether it was named or not.
 *
 * <p>WeightsRelay is confined to its reactor's thread.
 */
public final class WeightsRelay {
    /** The service under which relays are published; no document can name it, since names hold no blank. */
    public static final String SERVICE = "weights relay";

    /** A version larger than that is left to the boxes themselves: entry boxes are small. */
    private static final long MOST_BYTES = 32L << 20;

    /** The version in force, and the one that follows it. */
    private static final int VERSIONS_KEPT = 2;

    /** A box that hears no sooner that a version is not here does not ask again sooner either. */
    private static final long NOT_COMING_MILLIS = 400;

    /** The version that a box without an engine is said to hold. */
    public static final int NO_ENGINE = -1;

    private final RelaySettings settings;
    private final WeightsWiring wiring;
    private final PieceSender sender;
    private final Map<String, TreeMap<Integer, WeightsCopy>> copies = new HashMap<>();
    private final Map<String, FetchTurns> turns = new HashMap<>();
    private PublishedState published = PublishedState.EMPTY;

    /**
     * What a relay must be told.
     *
     * @param dataHall the data hall it is in, not null
     * @param nodeAddress where other processes call, not null
     * @param linkBytesPerSecond the rate of the box's link
     */
    public record RelaySettings(String dataHall, Address nodeAddress, long linkBytesPerSecond) {}

    /** Returns a relay that holds nothing yet, not null. */
    public static WeightsRelay of(RelaySettings settings, WeightsWiring wiring) {
        return new WeightsRelay(settings, wiring);
    }

    private WeightsRelay(RelaySettings settings, WeightsWiring wiring) {
        this.settings = settings;
        this.wiring = wiring;
        this.sender = new PieceSender(wiring.reactor(), wiring.clock(), settings.linkBytesPerSecond());
    }

    /** Takes in what is published now, and begins to fetch versions that were named. */
    public void update(PublishedState newer) {
        published = newer;
        for (NamedWeights named : newer.weights()) {
            copy(named.model(), named.version());
        }
    }

    /** Answers a box that asks for a piece. */
    public Promise<NodeReply> givePiece(NodeRequest.GetPiece asked) {
        byte[] bytes = copy(asked.model(), asked.version())
                .map(copy -> copy.piece(asked.piece()))
                .orElse(null);
        return sender.reply(bytes, true);
    }

    /** Answers a box that waits for a piece, which is fetched if need be. */
    public Promise<NodeReply> awaitPiece(NodeRequest.AwaitPiece asked) {
        Optional<WeightsCopy> copy = copy(asked.model(), asked.version());
        copy.ifPresent(each -> each.demand(asked.piece()));
        return copy.map(each -> each.whenHere(asked.piece(), asked.waitMillis()))
                .orElseGet(this::notComing)
                .map(NodeReply.PieceThere::new);
    }

    /** Answers only after a while: a relay that has just started may know the version any moment. */
    private Promise<Boolean> notComing() {
        SettablePromise<Boolean> later = new SettablePromise<>();
        wiring.reactor().delayBackground(NOT_COMING_MILLIS, () -> later.set(false));
        return later;
    }

    /** Returns the versions of a model that are kept here or on their way, oldest first, not null. */
    List<Integer> versionsKept(String model) {
        return List.copyOf(copies.getOrDefault(model, new TreeMap<>()).keySet());
    }

    /** Returns the copy of a version, which is begun if there is none; empty if it is not kept here. */
    private Optional<WeightsCopy> copy(String model, int version) {
        TreeMap<Integer, WeightsCopy> versions = copies.computeIfAbsent(model, key -> new TreeMap<>());
        WeightsCopy known = versions.get(version);
        if (known != null) {
            return Optional.of(known);
        }
        boolean older = versions.size() >= VERSIONS_KEPT && version < versions.firstKey();
        Optional<Service> service = peers().serviceOf(model).filter(WeightsRelay::fits);
        if (older || version < 1 || service.isEmpty()) {
            return Optional.empty();
        }
        WeightsCopy begun = begin(service.get(), version);
        versions.put(version, begun);
        if (versions.size() > VERSIONS_KEPT) {
            versions.pollFirstEntry().getValue().abandon();
        }
        return Optional.of(begun);
    }

    private static boolean fits(Service service) {
        WeightsLayout layout = service.weights();
        return (long) layout.pieces() * layout.pieceBytes() <= MOST_BYTES;
    }

    private WeightsCopy begin(Service service, int version) {
        wiring.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "relay begun")
                .with(DecisionField.VERSION, version)
                .write();
        ProcessSurroundings around = new ProcessSurroundings(wiring, new RelayPlace(service.name()));
        WeightsCopy begun = new WeightsCopy(
                around,
                service.weights(),
                version,
                turns.computeIfAbsent(service.weights().model(), key -> new FetchTurns()));
        begun.begin();
        return begun;
    }

    private WeightsPeers peers() {
        return WeightsPeers.of(published, settings.nodeAddress().port());
    }

    /** A relay among the other relays; boxes that hold the version may be asked as well. */
    private final class RelayPlace implements ProcessSurroundings.Place {
        private final String service;

        RelayPlace(String service) {
            this.service = service;
        }

        @Override
        public WeightsPeers peers() {
            return WeightsRelay.this.peers();
        }

        @Override
        public long index() {
            return published.index();
        }

        @Override
        public int originSharers() {
            return peers().relays().size();
        }

        @Override
        public PieceRouting plan(int version) {
            WeightsPeers peers = peers();
            PieceHolder self = new PieceHolder(settings.nodeAddress().toString(), settings.dataHall(), NO_ENGINE);
            Set<PieceHolder> relays = new LinkedHashSet<>(peers.relays());
            relays.add(self);
            return PieceRouting.of(self, List.copyOf(relays), version, peers.originConnections())
                    .withHoldersAmong(peers.boxesOf(service));
        }

        @Override
        public boolean wants(PieceRouting plan, int piece) {
            return plan.fetchesIntoHall(piece);
        }

        @Override
        public boolean engineServes() {
            return true;
        }

        @Override
        public Optional<Address> engine() {
            return Optional.empty();
        }
    }
}

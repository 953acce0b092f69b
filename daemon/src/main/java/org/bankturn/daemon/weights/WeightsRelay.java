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
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.WeightsPeer;

/**
 * Caches pieces of weights in memory and serves them to the boxes of its data hall.
 *
 * <p>Relays run on entry boxes, whose links are faster than those of targets. They partition the pieces of a version among
 * themselves, so that the origin sends each piece once and each enters a data hall once. A version is fetched when it is
 * published or when a box requests it.
 *
 * <p>This class is confined to its reactor's thread.
 */
public final class WeightsRelay {
    /** The service name of relays; its blank keeps it distinct from every configured service. */
    public static final String SERVICE = "weights relay";

    /** Larger versions are not relayed, because the memory of entry boxes is small. */
    private static final long MAX_VERSION_BYTES = 32L << 20;

    /** The current version and its successor. */
    private static final int MAX_VERSIONS = 2;

    /** Delays the answer for an unknown version, which limits the rate of polls. */
    private static final long UNKNOWN_VERSION_DELAY_MILLIS = 400;

    /** The held version of a box without an engine. */
    public static final int NO_ENGINE = -1;

    private final RelaySettings settings;
    private final WeightsDependencies dependencies;
    private final PieceSender sender;
    private final Map<String, TreeMap<Integer, WeightsCopy>> copies = new HashMap<>();
    private final Map<String, FetchScheduler> schedulers = new HashMap<>();
    private PublishedState published = PublishedState.EMPTY;

    /**
     * The settings of a relay.
     *
     * @param dataHall the data hall of the box, not null
     * @param nodeAddress the address for calls from other processes, not null
     * @param linkBytesPerSecond the bandwidth of the box's link
     */
    public record RelaySettings(String dataHall, Address nodeAddress, long linkBytesPerSecond) {}

    /** Returns a relay without any copies, not null. */
    public static WeightsRelay of(RelaySettings settings, WeightsDependencies dependencies) {
        return new WeightsRelay(settings, dependencies);
    }

    private WeightsRelay(RelaySettings settings, WeightsDependencies dependencies) {
        this.settings = settings;
        this.dependencies = dependencies;
        this.sender = new PieceSender(dependencies.reactor(), dependencies.clock(), settings.linkBytesPerSecond());
    }

    /** Applies a new publication and starts to fetch the versions in it. */
    public void update(PublishedState newer) {
        published = newer;
        for (NamedWeights named : newer.weights()) {
            copy(named.model(), named.version());
        }
    }

    /** Answers a request for a piece. */
    public Promise<NodeReply> sendPiece(NodeRequest.GetPiece request) {
        byte[] bytes = copy(request.model(), request.version())
                .map(copy -> copy.piece(request.piece()))
                .orElse(null);
        return sender.reply(bytes, true);
    }

    /** Answers a long poll for a piece, which is fetched if necessary. */
    public Promise<NodeReply> awaitPiece(NodeRequest.AwaitPiece request) {
        Optional<WeightsCopy> copy = copy(request.model(), request.version());
        copy.ifPresent(each -> each.request(request.piece()));
        return copy.map(each -> each.awaitPiece(request.piece(), request.waitMillis()))
                .orElseGet(this::unavailableAfterDelay)
                .map(NodeReply.PieceAvailability::new);
    }

    /** Answers after a delay, since a relay that has just started may learn of the version at any time. */
    private Promise<Boolean> unavailableAfterDelay() {
        SettablePromise<Boolean> reply = new SettablePromise<>();
        dependencies.reactor().delayBackground(UNKNOWN_VERSION_DELAY_MILLIS, () -> reply.set(false));
        return reply;
    }

    /** Returns the versions of a model that are cached or being fetched, oldest first, not null. */
    List<Integer> cachedVersions(String model) {
        return List.copyOf(copies.getOrDefault(model, new TreeMap<>()).keySet());
    }

    /** Returns the copy of a version, started if there is none; empty if the version is not cached here. */
    private Optional<WeightsCopy> copy(String model, int version) {
        TreeMap<Integer, WeightsCopy> versions = copies.computeIfAbsent(model, key -> new TreeMap<>());
        WeightsCopy known = versions.get(version);
        if (known != null) {
            return Optional.of(known);
        }
        boolean outdated = versions.size() >= MAX_VERSIONS && version < versions.firstKey();
        Optional<Service> service = peers().serviceOf(model).filter(WeightsRelay::fits);
        if (outdated || version < 1 || service.isEmpty()) {
            return Optional.empty();
        }
        WeightsCopy started = startCopy(service.get(), version);
        versions.put(version, started);
        if (versions.size() > MAX_VERSIONS) {
            versions.pollFirstEntry().getValue().cancel();
        }
        return Optional.of(started);
    }

    private static boolean fits(Service service) {
        WeightsLayout layout = service.weights();
        return (long) layout.pieces() * layout.pieceBytes() <= MAX_VERSION_BYTES;
    }

    private WeightsCopy startCopy(Service service, int version) {
        dependencies
                .log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "relay begun")
                .with(DecisionField.VERSION, version)
                .write();
        ProcessCopyContext context = new ProcessCopyContext(dependencies, new RelayParticipant(service.name()));
        WeightsCopy started = new WeightsCopy(
                context,
                service.weights(),
                version,
                schedulers.computeIfAbsent(service.weights().model(), key -> new FetchScheduler()));
        started.start();
        return started;
    }

    private WeightsPeers peers() {
        return WeightsPeers.of(published, settings.nodeAddress().port());
    }

    /** Routes among the relays; boxes that hold the version serve as additional sources. */
    private final class RelayParticipant implements ProcessCopyContext.Participant {
        private final String service;

        RelayParticipant(String service) {
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
        public PieceRouting routing(int version) {
            WeightsPeers peers = peers();
            WeightsPeer self = new WeightsPeer(settings.nodeAddress().toString(), settings.dataHall(), NO_ENGINE);
            Set<WeightsPeer> relays = new LinkedHashSet<>(peers.relays());
            relays.add(self);
            return PieceRouting.of(self, List.copyOf(relays), version, peers.originConnections())
                    .withPossibleHolders(peers.boxesOf(service));
        }

        @Override
        public boolean shouldFetch(PieceRouting plan, int piece) {
            return plan.isHallFetcher(piece);
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

package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.Published;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.NamedWeights;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Service;
import org.bankturn.service.WeightsLayout;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceHolder;
import org.bankturn.weights.PieceRouting;

/**
 * Brings the newest named weights to the engine on the same box.
 *
 * <p>It looks at the engine's report again and again, so that an engine that came back empty is noticed as well as a newer
 * version. Engines change over by turns. WeightsAgent is confined to its reactor's thread.
 */
public final class WeightsAgent {
    private static final byte[] NOTHING = new byte[0];
    private static final long CHECK_MILLIS = 100;
    private static final long LOCAL_CALL_MILLIS = 1_500;
    private static final long ORIGIN_CALL_MILLIS = 2_500;
    private static final long ORIGIN_CONNECT_MILLIS = 300;

    /** Connections of boxes that lost their power may still count at the origin beside the new ones. */
    private static final int ORIGIN_CONNECTIONS_USED_PERCENT = 40;

    private static final int MOST_ORIGIN_CALLS = 2;
    private static final long NEIGHBOUR_MARGIN_MILLIS = 400;
    private static final long TRANSFER_MILLIS = 2_500;
    private static final long NOT_COMING_MILLIS = 200;
    private static final long LOAD_USABLE_MILLIS = 1_000;
    private static final long START_AGAIN_MILLIS = 1_500;
    private static final long START_RETRY_MILLIS = 150;
    private static final double FIRST_TURN_SHARE = 0.62;
    private static final double TURNS_SHARE = 0.2;

    private final WeightsSettings settings;
    private final Around around;
    private final PieceSender sender;
    private Published published = Published.NOTHING;
    private WeightsCopy copy;

    /** A newer version that is fetched while the copy is still to be laid beside the engine and started. */
    private WeightsCopy following;

    private EngineReport lastReport;
    private int namedVersion;
    private long namedMillis;
    private boolean starting;
    private long reportedMillis;

    /** Returns an agent that does not run yet, not null. */
    public static WeightsAgent of(
            WeightsSettings settings,
            WeightsDialect dialect,
            Eventloop reactor,
            NodeClients clients,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics) {
        return new WeightsAgent(settings, dialect, reactor, clients, clock, log, metrics);
    }

    private WeightsAgent(
            WeightsSettings settings,
            WeightsDialect dialect,
            Eventloop reactor,
            NodeClients clients,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics) {
        this.settings = settings;
        this.around = new Around(reactor, clock, log, metrics, dialect, clients, HttpCalls.on(reactor, clock));
        this.sender = new PieceSender(reactor, clock, settings.linkBytesPerSecond());
    }

    /** Starts to look after the engine. */
    public void start() {
        check();
    }

    /** Takes in what is published now. */
    public void update(Published newer) {
        published = newer;
        layout().flatMap(each -> newer.weightsOf(each.model())).ifPresent(this::noteNamed);
    }

    private void noteNamed(NamedWeights named) {
        if (named.version() > namedVersion) {
            namedVersion = named.version();
            namedMillis = around.clock().millis();
        }
    }

    private Optional<WeightsLayout> layout() {
        return published.configuration() == null
                ? Optional.empty()
                : published.configuration().service(settings.service()).map(Service::weights);
    }

    // ---- looking after the engine

    private void check() {
        checkOnce().whenComplete(() -> around.reactor().delayBackground(CHECK_MILLIS, this::check));
    }

    private Promise<Void> checkOnce() {
        if (layout().isEmpty()) {
            return Promise.complete();
        }
        return around.callEngine(around.dialect().report(), NOTHING)
                .then(
                        answer -> {
                            around.dialect().report(answer.body()).ifPresent(this::take);
                            return Promise.complete();
                        },
                        failure -> Promise.complete());
    }

    private void take(EngineReport report) {
        lastReport = report;
        reportedMillis = around.clock().millis();
        int wanted = Math.max(1, namedVersion);
        if (report.heldVersion() >= wanted) {
            return;
        }
        fetchWanted(wanted, report);
        if (!report.busy() && copy.isWhole()) {
            startInTurn();
        }
    }

    /** A copy that is nearly whole is finished first; the wanted version is fetched meanwhile, but not laid down yet. */
    private void fetchWanted(int wanted, EngineReport report) {
        if (copy != null && copy.version() >= wanted) {
            return;
        }
        boolean finishes =
                copy != null && (report.busy() || (copy.isNearlyWhole() && report.heldVersion() < copy.version()));
        if (following == null || following.version() < wanted) {
            abandon(following);
            following = beginCopy(wanted);
        }
        if (!finishes) {
            abandon(copy);
            copy = following;
            following = null;
            copy.whenWhole(this::startInTurn);
            copy.letStage();
        }
    }

    private static void abandon(WeightsCopy former) {
        if (former != null) {
            former.abandon();
        }
    }

    private WeightsCopy beginCopy(int version) {
        around.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "copy begun")
                .with(DecisionField.VERSION, version)
                .write();
        WeightsCopy begun = new WeightsCopy(around, layout().orElseThrow(), version);
        begun.begin();
        return begun;
    }

    /** Returns the copy of a version that is here or on its way, empty if there is none. */
    private Optional<WeightsCopy> copyOf(int version) {
        return Stream.of(Optional.ofNullable(copy), Optional.ofNullable(following))
                .flatMap(Optional::stream)
                .filter(each -> each.version() == version)
                .findFirst();
    }

    /** Boxes take their turns, so that most engines serve while some change over; an empty engine does not wait. */
    private void startInTurn() {
        if (starting) {
            return;
        }
        starting = true;
        WeightsCopy started = copy;
        long wait = lastReport.heldVersion() == 0
                ? 0
                : Math.max(0, turnMillis() - around.clock().millis());
        around.reactor()
                .delayBackground(
                        wait,
                        () -> started.verifyAndStart().whenComplete((answer, failure) -> {
                            around.log()
                                    .line(DecisionKind.WEIGHTS)
                                    .with(DecisionField.EVENT, failure == null ? "start ordered" : "start failed")
                                    .with(DecisionField.VERSION, started.version())
                                    .with(DecisionField.ERROR, failure == null ? "" : failure.getMessage())
                                    .write();
                            long pause = failure == null ? START_AGAIN_MILLIS : START_RETRY_MILLIS;
                            around.reactor().delayBackground(pause, () -> starting = false);
                        }));
    }

    private long turnMillis() {
        List<PieceHolder> boxes = boxes();
        int rank = Math.max(0, boxes.indexOf(self()));
        double share = rank / (double) Math.max(1, boxes.size());
        return namedMillis + (long) (settings.deadlineMillis() * (FIRST_TURN_SHARE + TURNS_SHARE * share));
    }

    // ---- neighbours

    /** Answers a neighbour that asks for a piece. */
    public Promise<NodeReply> givePiece(NodeRequest.GetPiece asked) {
        Optional<WeightsCopy> coming = copyOf(asked.version());
        if (coming.isPresent()) {
            return sender.reply(coming.get().piece(asked.piece()), around.engineServes());
        }
        boolean lies = lastReport != null && lastReport.heldVersion() == asked.version();
        if (!lies || asked.piece() == WeightsCopy.MANIFEST) {
            return Promise.of(new NodeReply.Piece(null));
        }
        return around.callEngine(around.dialect().readBack(asked.model(), asked.piece()), NOTHING)
                .then(answer -> sender.reply(answer.body(), around.engineServes()));
    }

    /** Answers a neighbour that waits for a piece. */
    public Promise<NodeReply> awaitPiece(NodeRequest.AwaitPiece asked) {
        Promise<Boolean> there = copyOf(asked.version())
                .map(coming -> coming.whenHere(asked.piece(), asked.waitMillis()))
                .orElseGet(() -> notComing(asked));
        return there.map(NodeReply.PieceThere::new);
    }

    /** Answers only after the time to wait, since the copy may begin any moment. */
    private Promise<Boolean> notComing(NodeRequest.AwaitPiece asked) {
        SettablePromise<Boolean> later = new SettablePromise<>();
        around.reactor().delayBackground(NOT_COMING_MILLIS, () -> later.set(holds(asked.version())));
        return later;
    }

    private boolean holds(int version) {
        return copyOf(version).filter(WeightsCopy::isWhole).isPresent()
                || (lastReport != null && lastReport.heldVersion() == version);
    }

    /** Answers a gateway that asks for the engine's load. */
    public NodeReply giveLoad() {
        long age = around.clock().millis() - reportedMillis;
        boolean usable = lastReport != null && age < LOAD_USABLE_MILLIS;
        return new NodeReply.Load(usable ? lastReport.load() : null, age);
    }

    /** Returns how many connections all boxes together may have at the origin. */
    private int originConnections() {
        int most = published
                .configuration()
                .origin()
                .map(Service::maximumConnections)
                .orElse(0);
        return most * ORIGIN_CONNECTIONS_USED_PERCENT / 100;
    }

    private List<PieceHolder> boxes() {
        return published.targets().values().stream()
                .filter(target -> target.service().equals(settings.service()) && !target.draining())
                .map(this::holder)
                .sorted((one, other) -> one.box().compareTo(other.box()))
                .toList();
    }

    private PieceHolder holder(TargetSighting target) {
        Address box = new Address(
                Address.parse(target.address()).host(), settings.nodeAddress().port());
        return new PieceHolder(box.toString(), target.dataHall(), target.heldVersion());
    }

    private PieceHolder self() {
        String own = settings.nodeAddress().toString();
        return boxes().stream()
                .filter(box -> box.box().equals(own))
                .findFirst()
                .orElse(new PieceHolder(own, settings.dataHall(), 0));
    }

    /** The process around a copy. */
    private final class Around implements WeightsSurroundings {
        private final Eventloop reactor;
        private final Clock clock;
        private final DecisionLog log;
        private final ServingMetrics metrics;
        private final WeightsDialect dialect;
        private final NodeClients clients;
        private final HttpCalls calls;
        private PieceRouting routing;
        private long routedIndex;
        private int routedVersion;

        Around(
                Eventloop reactor,
                Clock clock,
                DecisionLog log,
                ServingMetrics metrics,
                WeightsDialect dialect,
                NodeClients clients,
                HttpCalls calls) {
            this.reactor = reactor;
            this.clock = clock;
            this.log = log;
            this.metrics = metrics;
            this.dialect = dialect;
            this.clients = clients;
            this.calls = calls;
        }

        @Override
        public Eventloop reactor() {
            return reactor;
        }

        @Override
        public Clock clock() {
            return clock;
        }

        @Override
        public DecisionLog log() {
            return log;
        }

        @Override
        public ServingMetrics metrics() {
            return metrics;
        }

        @Override
        public WeightsDialect dialect() {
            return dialect;
        }

        @Override
        public boolean engineServes() {
            return lastReport != null && lastReport.heldVersion() > 0;
        }

        @Override
        public PieceRouting routing(int version) {
            if (routing == null || routedIndex != published.index() || routedVersion != version) {
                routing = PieceRouting.of(self(), boxes(), version, Math.max(1, originConnections()));
                routedIndex = published.index();
                routedVersion = version;
            }
            return routing;
        }

        @Override
        public Promise<HttpCalls.Answer> callEngine(HttpHead head, byte[] body) {
            return succeeding(calls.call(settings.engineAddress().toSocketAddress(), head, body, LOCAL_CALL_MILLIS));
        }

        @Override
        public int originCallsAtOnce() {
            int share = originConnections() / Math.max(1, boxes().size());
            return Math.max(1, Math.min(MOST_ORIGIN_CALLS, share));
        }

        @Override
        public Promise<HttpCalls.Answer> callOrigin(HttpHead head) {
            Optional<Service> origin = published.configuration().origin();
            if (origin.isEmpty()) {
                return Promise.ofException(new IOException("no origin of weights"));
            }
            Address address = Address.parse(origin.get().originAddress());
            return succeeding(
                    calls.call(address.toSocketAddress(), head, NOTHING, ORIGIN_CONNECT_MILLIS, ORIGIN_CALL_MILLIS));
        }

        private Promise<HttpCalls.Answer> succeeding(Promise<HttpCalls.Answer> call) {
            return call.then(answer -> answer.isSuccess()
                    ? Promise.of(answer)
                    : Promise.ofException(
                            new IOException("answered " + answer.head().status())));
        }

        @Override
        public Promise<byte[]> askNeighbour(String box, NodeRequest.GetPiece request) {
            return clients.ask(Address.parse(box), request, TRANSFER_MILLIS)
                    .map(reply -> reply instanceof NodeReply.Piece piece ? piece.bytes() : null);
        }

        @Override
        public Promise<Boolean> awaitNeighbour(String box, NodeRequest.AwaitPiece request) {
            return clients.ask(Address.parse(box), request, request.waitMillis() + NEIGHBOUR_MARGIN_MILLIS)
                    .map(reply -> reply instanceof NodeReply.PieceThere told && told.there());
        }
    }
}

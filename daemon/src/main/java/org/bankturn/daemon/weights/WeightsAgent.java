package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.NamedWeights;
import org.bankturn.service.WeightsLayout;
import org.bankturn.weights.ChangeMethod;
import org.bankturn.weights.ChangeTurns;
import org.bankturn.weights.PieceHolder;
import org.bankturn.weights.PieceRouting;

/**
 * Brings the newest named weights to the engine on the same box.
 *
 * <p>It looks at the engine's report again and again, so that an engine that came back empty is noticed as well as a newer
 * version. Engines change over by turns. WeightsAgent is confined to its reactor's thread.
 */
public final class WeightsAgent {
    /** How often the engine is looked at while it lacks what it should hold. */
    private static final long CHECK_MILLIS = 100;

    /** The same while it holds it: an engine that came back empty needs seconds for a copy; gateways' questions look too. */
    private static final long RESTING_CHECK_MILLIS = 300;

    private static final long NOT_COMING_MILLIS = 200;
    private static final long LOAD_USABLE_MILLIS = 1_000;
    private static final long START_AGAIN_MILLIS = 1_500;
    private static final long START_RETRY_MILLIS = 150;

    /** Versions whose naming is remembered: the one that is changed to may be older than the newest. */
    private static final int VERSIONS_TIMED = 8;

    private final WeightsSettings settings;
    private final ProcessSurroundings around;
    private final PieceSender sender;
    private final FetchTurns turns = new FetchTurns();
    private PublishedState published = PublishedState.EMPTY;
    private WeightsCopy copy;

    /** A newer version that is fetched while the copy is still to be laid beside the engine and started. */
    private WeightsCopy following;

    private EngineReport lastReport;
    private int namedVersion;

    /** When each version became known here, by version. */
    private final TreeMap<Integer, Long> namedMillis = new TreeMap<>();

    private boolean starting;

    /** When the engine breaks off what it runs, in the past if that is not planned. */
    private long breaksOffMillis = Long.MIN_VALUE / 2;

    private long reportedMillis;

    /** The look at the engine that is under way, null if none is. */
    private Promise<Void> looking;

    /** Returns an agent that does not run yet, not null. */
    public static WeightsAgent of(WeightsSettings settings, WeightsWiring wiring) {
        return new WeightsAgent(settings, wiring);
    }

    private WeightsAgent(WeightsSettings settings, WeightsWiring wiring) {
        this.settings = settings;
        this.around = new ProcessSurroundings(wiring, new EnginePlace());
        this.sender = new PieceSender(wiring.reactor(), wiring.clock(), settings.linkBytesPerSecond());
    }

    /** Starts to look after the engine. */
    public void start() {
        check();
    }

    /** Takes in what is published now. */
    public void update(PublishedState newer) {
        published = newer;
        layout().flatMap(each -> newer.weightsOf(each.model())).ifPresent(this::noteNamed);
    }

    private void noteNamed(NamedWeights named) {
        if (named.version() > namedVersion) {
            namedVersion = named.version();
            namedMillis.put(named.version(), around.clock().millis());
            namedMillis.headMap(named.version() - VERSIONS_TIMED).clear();
            look();
        }
    }

    private Optional<WeightsLayout> layout() {
        return peers().layoutOf(settings.service());
    }

    // ---- looking after the engine

    private void check() {
        look().whenComplete(() -> {
            boolean rests = lastReport != null && lastReport.heldVersion() >= Math.max(1, namedVersion);
            around.reactor().delayBackground(rests ? RESTING_CHECK_MILLIS : CHECK_MILLIS, this::check);
        });
    }

    /** Looks at the engine; several that want to know at a time share one look. */
    private Promise<Void> look() {
        if (looking != null) {
            return looking;
        }
        Promise<Void> begun = checkOnce();
        if (!begun.isComplete()) {
            looking = begun.whenComplete(() -> looking = null);
            return looking;
        }
        return begun;
    }

    private Promise<Void> checkOnce() {
        if (layout().isEmpty()) {
            return Promise.complete();
        }
        return around.askEngine(around.dialect().report())
                .then(
                        answer -> {
                            around.dialect().report(answer.body()).ifPresentOrElse(this::take, this::noteUnreadable);
                            return Promise.complete();
                        },
                        failure -> Promise.complete());
    }

    /** What cannot be read says nothing: an engine of unknown load is not one at rest. */
    private void noteUnreadable() {
        around.metrics().unreadableReport();
        around.log()
                .line(DecisionKind.LOST)
                .with(DecisionField.DEPENDENCY, "engine")
                .with(DecisionField.REASON, "its report cannot be read")
                .write();
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

    /** A copy that is well under way is finished first; the wanted version is fetched meanwhile, but not laid down yet. */
    private void fetchWanted(int wanted, EngineReport report) {
        if (copy != null && copy.version() >= wanted) {
            return;
        }
        boolean finishes =
                copy != null && (report.busy() || (copy.isWellUnderWay() && report.heldVersion() < copy.version()));
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
        WeightsCopy begun = new WeightsCopy(around, layout().orElseThrow(), version, turns);
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
                : Math.max(0, turnMillis(started.version()) - around.clock().millis());
        if (lastReport.heldVersion() > 0 && changeMethod() == ChangeMethod.AT_ONCE) {
            breaksOffMillis = around.clock().millis() + wait;
        }
        around.reactor().delayBackground(wait, () -> orderStart(started));
    }

    private void orderStart(WeightsCopy started) {
        ChangeMethod method = changeMethod();
        started.verifyAndStart(method).whenComplete((answer, failure) -> {
            around.log()
                    .line(DecisionKind.WEIGHTS)
                    .with(DecisionField.EVENT, failure == null ? "start ordered" : "start failed")
                    .with(DecisionField.VERSION, started.version())
                    .with(DecisionField.METHOD, method)
                    .with(DecisionField.ERROR, failure == null ? "" : failure.getMessage())
                    .write();
            long pause = failure == null ? START_AGAIN_MILLIS : START_RETRY_MILLIS;
            around.reactor().delayBackground(pause, () -> starting = false);
        });
    }

    private long turnMillis(int version) {
        long now = around.clock().millis();
        long named = namedMillis.getOrDefault(version, now);
        ChangeTurns turns = ChangeTurns.within(settings.deadlineMillis(), changeMethod());
        return named + turns.turnMillis(settings.nodeAddress().toString(), boxes(), now - named);
    }

    /** Answers that can go on at another target need not be waited for, which would empty the engines by turns. */
    private ChangeMethod changeMethod() {
        boolean goOn = published.configuration() != null
                && published.configuration().everyRequestMayGoOnElsewhere(settings.service());
        return goOn ? ChangeMethod.AT_ONCE : ChangeMethod.AFTER_ANSWERS;
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
        return around.askEngine(around.dialect().readBack(asked.model(), asked.piece()))
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

    /** Answers a gateway that asks for the engine's load, with what the engine says now. */
    public Promise<NodeReply> giveLoad() {
        return look().map(nothing -> loadAsKnown());
    }

    private NodeReply loadAsKnown() {
        long age = around.clock().millis() - reportedMillis;
        boolean usable = lastReport != null && age < LOAD_USABLE_MILLIS;
        long breaksOffIn = Math.max(0, breaksOffMillis - around.clock().millis());
        return new NodeReply.Load(usable ? lastReport.load() : null, age, breaksOffIn);
    }

    private WeightsPeers peers() {
        return WeightsPeers.of(published, settings.nodeAddress().port());
    }

    private List<PieceHolder> boxes() {
        return peers().boxesOf(settings.service());
    }

    private PieceHolder self() {
        String own = settings.nodeAddress().toString();
        return boxes().stream()
                .filter(box -> box.box().equals(own))
                .findFirst()
                .orElse(new PieceHolder(own, settings.dataHall(), 0));
    }

    /** The box of the engine among all boxes and relays. */
    private final class EnginePlace implements ProcessSurroundings.Place {
        @Override
        public WeightsPeers peers() {
            return WeightsAgent.this.peers();
        }

        @Override
        public long index() {
            return published.index();
        }

        @Override
        public int originSharers() {
            return boxes().size();
        }

        @Override
        public PieceRouting plan(int version) {
            WeightsPeers peers = peers();
            return PieceRouting.of(self(), boxes(), version, peers.originConnections())
                    .withRelays(peers.relays());
        }

        @Override
        public boolean wants(PieceRouting plan, int piece) {
            return true;
        }

        @Override
        public boolean engineServes() {
            return lastReport != null && lastReport.heldVersion() > 0;
        }

        @Override
        public Optional<Address> engine() {
            return Optional.of(settings.engineAddress());
        }
    }
}

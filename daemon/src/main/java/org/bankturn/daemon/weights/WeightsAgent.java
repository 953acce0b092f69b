package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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
import org.bankturn.weights.ChangeSchedule;
import org.bankturn.weights.FormerStart;
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.PublicationTimes;
import org.bankturn.weights.WeightsPeer;

/**
 * Keeps the engine on the same box at the newest published version of its weights.
 *
 * <p>The agent polls the engine's report, so that it reacts to an engine that restarted empty as well as to a new version.
 * Engines change over at staggered times.
 *
 * <p>This class is confined to its reactor's thread.
 */
public final class WeightsAgent {
    /** The poll interval while the engine lacks the expected version. */
    private static final long POLL_MILLIS = 100;

    /** The poll interval while the engine holds the expected version; load requests of gateways poll as well. */
    private static final long UP_TO_DATE_POLL_MILLIS = 300;

    private static final long UNKNOWN_VERSION_DELAY_MILLIS = 200;
    private static final long MAX_LOAD_AGE_MILLIS = 1_000;
    private static final long REORDER_START_MILLIS = 1_500;
    private static final long FAILED_START_RETRY_MILLIS = 150;
    private static final int MAX_NEIGHBOURS_ASKED = 3;

    private final WeightsSettings settings;
    private final ProcessCopyContext context;
    private final PieceSender sender;
    private final EngineStarter starter;
    private final RecentManifests manifests = new RecentManifests();
    private final FormerStartCheck formerStart;
    private final FetchScheduler scheduler = new FetchScheduler();
    private PublishedState published = PublishedState.EMPTY;
    private WeightsCopy copy;

    /** The copy of a newer version, fetched but not staged until the current copy was started; null if none. */
    private WeightsCopy nextCopy;

    private EngineReport lastReport;
    private int publishedVersion;

    private final PublicationTimes publicationTimes = PublicationTimes.none();

    private boolean starting;

    /** The time at which the engine will abort its requests, in the past if none is planned. */
    private long abortMillis = Long.MIN_VALUE / 2;

    private long reportMillis;

    /** The poll in flight, null if none. */
    private Promise<Void> pendingPoll;

    /** Returns an agent that has not been started, not null. */
    public static WeightsAgent of(WeightsSettings settings, WeightsDependencies dependencies) {
        return new WeightsAgent(settings, dependencies);
    }

    private WeightsAgent(WeightsSettings settings, WeightsDependencies dependencies) {
        this.settings = settings;
        this.context = new ProcessCopyContext(dependencies, new EngineParticipant());
        this.starter = new EngineStarter(context);
        this.formerStart = FormerStartCheck.of(context, manifests);
        this.sender = new PieceSender(dependencies.reactor(), dependencies.clock(), settings.linkBytesPerSecond());
    }

    /** Starts to poll the engine. */
    public void start() {
        pollRepeatedly();
    }

    /** Applies a new publication. */
    public void update(PublishedState newer) {
        published = newer;
        peers().targetAt(settings.engineAddress()).ifPresent(target -> starter.publishedInstance(target.name()));
        layout().flatMap(each -> newer.weightsOf(each.model())).ifPresent(this::recordVersion);
    }

    private void recordVersion(NamedWeights named) {
        if (named.version() > publishedVersion) {
            publishedVersion = named.version();
            publicationTimes.record(named.version(), context.clock().millis());
            poll();
        }
    }

    private Optional<WeightsLayout> layout() {
        return peers().layoutOf(settings.service());
    }

    // ---- the engine

    private void pollRepeatedly() {
        poll().whenComplete(() -> {
            boolean upToDate = lastReport != null && lastReport.heldVersion() >= Math.max(1, publishedVersion);
            context.reactor().delayBackground(upToDate ? UP_TO_DATE_POLL_MILLIS : POLL_MILLIS, this::pollRepeatedly);
        });
    }

    /** Polls the engine; concurrent callers share one request. */
    private Promise<Void> poll() {
        if (pendingPoll != null) {
            return pendingPoll;
        }
        Promise<Void> started = requestReport();
        if (!started.isComplete()) {
            pendingPoll = started.whenComplete(() -> pendingPoll = null);
            return pendingPoll;
        }
        return started;
    }

    private Promise<Void> requestReport() {
        if (layout().isEmpty()) {
            return Promise.complete();
        }
        String requestedFrom = starter.instance();
        return context.queryEngine(context.dialect().report())
                .then(
                        answer -> {
                            context.dialect()
                                    .report(answer.body())
                                    .ifPresentOrElse(
                                            report -> handleReport(report, requestedFrom), this::logMalformedReport);
                            return Promise.complete();
                        },
                        failure -> Promise.complete());
    }

    /** Discards a malformed report; an engine of unknown load must not count as idle. */
    private void logMalformedReport() {
        context.metrics().unreadableReport();
        context.log()
                .line(DecisionKind.LOST)
                .with(DecisionField.DEPENDENCY, "engine")
                .with(DecisionField.REASON, "malformed report")
                .write();
    }

    private void handleReport(EngineReport report, String requestedFrom) {
        lastReport = report;
        starter.observe(report, requestedFrom);
        reportMillis = context.clock().millis();
        keepManifest(copy);
        keepManifest(nextCopy);
        int wanted = Math.max(1, publishedVersion);
        checkFormerStart(wanted, report);
        if (report.heldVersion() >= wanted) {
            return;
        }
        ensureCopy(wanted, report);
        if (!report.busy() && copy != null && copy.isComplete()) {
            scheduleStart();
        }
    }

    private void keepManifest(WeightsCopy copied) {
        if (copied != null && copied.piece(WeightsCopy.MANIFEST) != null) {
            manifests.keep(copied.version(), copied.piece(WeightsCopy.MANIFEST));
        }
    }

    // ---- orders of a former process

    private void checkFormerStart(int wanted, EngineReport report) {
        if (formerStart.isDone() || !starter.hasCurrentReport()) {
            return;
        }
        Optional<FormerStart> finding = formerStart.finding(report, wanted, published.confirmed());
        if (finding.isPresent()) {
            applyFormerStart(finding.get());
        } else if (report.heldVersion() < wanted && !report.busy()) {
            formerStart.readStagedPieces(layout().orElseThrow());
            formerStart.lookUpManifests(layout().orElseThrow().model(), report.heldVersion(), wanted, neighbours());
        }
    }

    /** Finishes the version that a former process may have ordered; sending that order again settles it. */
    private void applyFormerStart(FormerStart finding) {
        if (finding.state() != FormerStart.State.POSSIBLE) {
            return;
        }
        String model = layout().orElseThrow().model();
        starter.assume(starter.order(model, finding.version(), changeMethod()), formerStart.endMillis());
        if (nextCopy != null && nextCopy.version() == finding.version()) {
            cancel(nextCopy);
            nextCopy = null;
        }
        byte[] manifest = manifests.manifest(finding.version());
        copy = newCopy(finding.version());
        copy.startFrom(manifest, context.dialect().manifest(manifest).orElseThrow(), formerStart.pieces());
        stage(copy);
    }

    /** Returns the nearest boxes of the service, not null. */
    private List<String> neighbours() {
        return boxes().stream()
                .filter(box -> !box.box().equals(settings.nodeAddress().toString()))
                .sorted(Comparator.comparing(box -> !box.dataHall().equals(settings.dataHall())))
                .limit(MAX_NEIGHBOURS_ASKED)
                .map(WeightsPeer::box)
                .toList();
    }

    // ---- copies

    /** Starts a copy of the wanted version, which is fetched but not staged while an advanced older copy is finished. */
    private void ensureCopy(int wanted, EngineReport report) {
        if (copy != null && copy.version() >= wanted) {
            return;
        }
        boolean finishCurrent = !formerStart.isDone()
                || !starter.allowsStaging(wanted)
                || (copy != null
                        && (report.busy() || (copy.hasSubstantialProgress() && report.heldVersion() < copy.version())));
        if (nextCopy == null || nextCopy.version() < wanted) {
            cancel(nextCopy);
            nextCopy = startCopy(wanted);
        }
        if (!finishCurrent) {
            cancel(copy);
            copy = nextCopy;
            nextCopy = null;
            stage(copy);
        }
    }

    private void stage(WeightsCopy allowed) {
        allowed.onComplete(this::scheduleStart);
        allowed.allowStaging();
    }

    private static void cancel(WeightsCopy obsolete) {
        if (obsolete != null) {
            obsolete.cancel();
        }
    }

    private WeightsCopy startCopy(int version) {
        context.log()
                .line(DecisionKind.WEIGHTS)
                .with(DecisionField.EVENT, "copy begun")
                .with(DecisionField.VERSION, version)
                .write();
        WeightsCopy started = newCopy(version);
        started.start();
        return started;
    }

    private WeightsCopy newCopy(int version) {
        return new WeightsCopy(context, layout().orElseThrow(), version, scheduler);
    }

    /** Returns the current or the next copy if it is of the given version. */
    private Optional<WeightsCopy> copyOf(int version) {
        return Stream.of(Optional.ofNullable(copy), Optional.ofNullable(nextCopy))
                .flatMap(Optional::stream)
                .filter(each -> each.version() == version)
                .findFirst();
    }

    /** Schedules the start order. Loaded engines change at staggered times so that most keep serving; empty ones do not wait. */
    private void scheduleStart() {
        if (starting) {
            return;
        }
        starting = true;
        WeightsCopy started = copy;
        long wait = lastReport.heldVersion() == 0
                ? 0
                : Math.max(0, plannedStartMillis() - context.clock().millis());
        if (lastReport.heldVersion() > 0 && changeMethod() == ChangeMethod.AT_ONCE) {
            abortMillis = context.clock().millis() + wait;
        }
        context.reactor().delayBackground(wait, () -> orderStart(started));
    }

    private void orderStart(WeightsCopy started) {
        starter.start(started, changeMethod()).whenComplete((ignored, failure) -> {
            long pause = failure == null ? REORDER_START_MILLIS : FAILED_START_RETRY_MILLIS;
            context.reactor().delayBackground(pause, () -> starting = false);
        });
    }

    private long plannedStartMillis() {
        long now = context.clock().millis();
        long named = publicationTimes.firstNewerThan(lastReport.heldVersion()).orElse(now);
        ChangeSchedule schedule = ChangeSchedule.within(settings.deadlineMillis(), changeMethod());
        return named + schedule.startMillis(settings.nodeAddress().toString(), boxes(), now - named);
    }

    /** Returns AT_ONCE if aborted requests can resume at another target, since draining would then only cost capacity. */
    private ChangeMethod changeMethod() {
        boolean resumable = published.configuration() != null
                && published.configuration().areAllRequestsRetryable(settings.service());
        return resumable ? ChangeMethod.AT_ONCE : ChangeMethod.AFTER_ANSWERS;
    }

    // ---- neighbours

    /** Answers a request for a piece. */
    public Promise<NodeReply> sendPiece(NodeRequest.GetPiece request) {
        Optional<WeightsCopy> pending = copyOf(request.version());
        if (pending.isPresent()) {
            return sender.reply(pending.get().piece(request.piece()), context.engineServes());
        }
        if (request.piece() == WeightsCopy.MANIFEST) {
            return Promise.of(new NodeReply.Piece(manifests.manifest(request.version())));
        }
        boolean loaded = lastReport != null && lastReport.heldVersion() == request.version();
        if (!loaded) {
            return Promise.of(new NodeReply.Piece(null));
        }
        return context.queryEngine(context.dialect().readBack(request.model(), request.piece()))
                .then(answer -> sender.reply(answer.body(), context.engineServes()));
    }

    /** Answers a long poll for a piece. */
    public Promise<NodeReply> awaitPiece(NodeRequest.AwaitPiece request) {
        Promise<Boolean> available = copyOf(request.version())
                .map(pending -> pending.awaitPiece(request.piece(), request.waitMillis()))
                .orElseGet(() -> availableAfterDelay(request));
        return available.map(NodeReply.PieceAvailability::new);
    }

    /** Answers after a delay, since the copy may start at any time. */
    private Promise<Boolean> availableAfterDelay(NodeRequest.AwaitPiece request) {
        SettablePromise<Boolean> reply = new SettablePromise<>();
        context.reactor().delayBackground(UNKNOWN_VERSION_DELAY_MILLIS, () -> reply.set(holds(request.version())));
        return reply;
    }

    private boolean holds(int version) {
        return copyOf(version).filter(WeightsCopy::isComplete).isPresent()
                || (lastReport != null && lastReport.heldVersion() == version);
    }

    /** Answers a gateway's request for the engine's load, from a fresh report. */
    public Promise<NodeReply> reportLoad() {
        return poll().map(ignored -> lastKnownLoad());
    }

    private NodeReply lastKnownLoad() {
        long age = context.clock().millis() - reportMillis;
        boolean usable = lastReport != null && age < MAX_LOAD_AGE_MILLIS;
        long abortInMillis = Math.max(0, abortMillis - context.clock().millis());
        return new NodeReply.Load(usable ? lastReport.load() : null, age, abortInMillis);
    }

    private WeightsPeers peers() {
        return WeightsPeers.of(published, settings.nodeAddress().port());
    }

    private List<WeightsPeer> boxes() {
        return peers().boxesOf(settings.service());
    }

    private WeightsPeer self() {
        String own = settings.nodeAddress().toString();
        return boxes().stream()
                .filter(box -> box.box().equals(own))
                .findFirst()
                .orElse(new WeightsPeer(own, settings.dataHall(), 0));
    }

    /** Routes among the boxes of the service and the relays. */
    private final class EngineParticipant implements ProcessCopyContext.Participant {
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
        public PieceRouting routing(int version) {
            WeightsPeers peers = peers();
            return PieceRouting.of(self(), boxes(), version, peers.originConnections())
                    .withRelays(peers.relays());
        }

        @Override
        public boolean shouldFetch(PieceRouting plan, int piece) {
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

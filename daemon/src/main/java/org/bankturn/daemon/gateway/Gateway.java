package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.daemon.http.BufferBound;
import org.bankturn.daemon.http.BufferBudget;
import org.bankturn.daemon.http.BufferKind;
import org.bankturn.daemon.http.HealthDialect;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.HttpListener;
import org.bankturn.daemon.http.SendQueueLimits;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.http.ServerLimits;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.RequestOutcome;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.HallEvacuation;
import org.bankturn.publication.NamedWeights;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.ColdCause;
import org.bankturn.routing.ConnectionReusePolicy;
import org.bankturn.routing.NextStep;
import org.bankturn.routing.PlacementSettings;
import org.bankturn.routing.RequestPolicy;
import org.bankturn.routing.ResponseTimes;
import org.bankturn.routing.RetryAfter;
import org.bankturn.routing.ShutdownSchedule;
import org.bankturn.routing.SlowStarts;
import org.bankturn.routing.TargetState;
import org.bankturn.routing.TargetTable;
import org.bankturn.routing.VersionDeadlines;
import org.bankturn.service.Account;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.time.Clock;

/**
 * Accepts callers' requests, resolves route and account, and forwards each as a {@link ForwardedRequest}.
 *
 * <p>Gateway is confined to its reactor's thread.
 */
public final class Gateway {
    private static final byte[] EMPTY_BODY = new byte[0];

    private static final long STOP_CHECK_MILLIS = 50;
    private static final int ANSWERS_PER_LOG_LINE = 64;
    private static final String NO_SERVICE = "none";

    private final GatewaySettings settings;
    private final RequestDialect dialect;
    private final Eventloop reactor;
    private final Clock clock;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final HttpListener callers;
    private final HttpListener readiness;
    private final TargetTable targets;
    private final ConnectionReusePolicy connectionTrust;
    private final TargetConnectionPool connections;
    private final RequestPolicy policy;
    private final LoadPoller loadPoller;
    private final PermitExchange permits;
    private final BufferBudget buffers;
    private final DepartureMonitor departures;
    private final CrashDetector crashDetector;
    private final CompletenessCheck completenessCheck;
    private final Set<ForwardedRequest> inFlight = new LinkedHashSet<>();
    private final ResponseTimes responseTimes = ResponseTimes.none();
    private final long startedMillis;
    private PublishedState published = PublishedState.EMPTY;
    private SettablePromise<Void> stopped;
    private boolean outOfRotation;
    private long finalAnswerMillis = Long.MAX_VALUE;
    private long answeredCount;

    /**
     * Returns a gateway that has not been started, not null.
     *
     * @param settings the settings, not null
     * @param dialect maps metadata to header fields, not null
     * @param health the format of health requests to targets, not null
     * @param reactor the event loop, not null
     * @param clients calls other processes, not null
     * @param controlGroup receives commands for the control group, not null
     * @param clock the clock, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     */
    public static Gateway of(
            GatewaySettings settings,
            RequestDialect dialect,
            HealthDialect health,
            Eventloop reactor,
            NodeClients clients,
            Consumer<PublicationCommand> controlGroup,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics) {
        return new Gateway(settings, dialect, health, reactor, clients, controlGroup, clock, log, metrics);
    }

    private Gateway(
            GatewaySettings settings,
            RequestDialect dialect,
            HealthDialect health,
            Eventloop reactor,
            NodeClients clients,
            Consumer<PublicationCommand> controlGroup,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics) {
        this.settings = settings;
        this.dialect = dialect;
        this.reactor = reactor;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.startedMillis = clock.millis();
        this.connectionTrust = clients.reusePolicy();
        this.connections = new TargetConnectionPool(connectionTrust);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        this.targets =
                TargetTable.of(clock, settings.dataHall(), settings.regions(), PlacementSettings.DEFAULT, random);
        this.policy = RequestPolicy.of(clock, targets, settings.retryLimits(), random);
        this.loadPoller = LoadPoller.of(reactor, clock, clients, targets, settings, metrics);
        this.permits =
                PermitExchange.of(settings.nodeAddress(), reactor, clock, clients, targets, random, log, metrics);
        metrics.registerHeldBackGauge(targets::heldBackCounts);
        targets.slowStarts().setListener(this::recordColdTarget);
        metrics.registerSlowEnginesGauge(targets::slowEngines);
        IncarnationCheck.Dependencies checks = new IncarnationCheck.Dependencies(reactor, clock, health, connections);
        this.buffers = BufferBudget.forHeap(settings.heapBytes());
        metrics.registerBufferedBytesGauge(buffers::reservedBytes);
        this.departures = DepartureMonitor.on(reactor);
        this.crashDetector = CrashDetector.of(
                settings.process(),
                checks,
                departures,
                this::healthPathToAsk,
                log,
                metrics,
                controlGroup,
                this::stopCondemned);
        connections.setPeerCloseListener(crashDetector.runs()::onIdleConnectionClosed);
        this.completenessCheck = CompletenessCheck.of(checks, departures, log, metrics);
        this.callers = HttpListener.create(
                reactor,
                clock,
                settings.callerAddress().toSocketAddress(),
                this::callerLimits,
                SendQueueLimits.forHeap(settings.heapBytes()),
                buffers,
                this::handle,
                new InterruptionReporter(dialect, log, metrics));
        metrics.registerQueuedOutputGauge(callers::queuedOutputBytes);
        this.readiness = HttpListener.create(
                reactor,
                clock,
                settings.readyAddress().toSocketAddress(),
                () -> ServerLimits.CONTROL,
                this::answerReadiness);
    }

    /** Starts serving; must be called on the reactor's thread. */
    public void start() throws IOException {
        callers.listen();
        readiness.listen();
        loadPoller.start();
    }

    /**
     * Applies a newly published state.
     *
     * <p>The deadline for a new weights version counts from its publication, also for a gateway that learns of it late.
     *
     * @param newer the published state, not null
     * @param changedSinceMillis a time before any of the changes took effect
     */
    public void update(PublishedState newer, long changedSinceMillis) {
        long due = VersionDeadlines.deadlineOf(startedMillis, changedSinceMillis, settings.weightsDeadlineMillis());
        for (NamedWeights named : newer.weights()) {
            policy.versionAnnounced(named.model(), named.version(), due);
        }
        reportEvacuations(newer);
        forgetRemovedRoutes(newer.configuration());
        published = newer;
        policy.update(newer.configuration(), publishedGatewayCount());
        updateSlowStarts(newer);
        connections.closeAll(targets.update(newer.targets().values()));
        targets.setEvacuatedHalls(newer.evacuatedHalls());
        loadPoller.update(newer, gatewaysInDataHall());
        permits.update(addresses(gateways()));
        departures.update(newer);
        crashDetector.update(newer);
    }

    private void forgetRemovedRoutes(ServingConfiguration newer) {
        if (newer != null && newer != published.configuration()) {
            responseTimes.retain(newer.routes().stream().map(Route::name).collect(Collectors.toSet()));
        }
    }

    private void reportEvacuations(PublishedState newer) {
        Set<String> before = published.evacuatedHalls();
        Set<String> now = newer.evacuatedHalls();
        metrics.setEvacuatedHalls(now.size());
        for (HallEvacuation order : newer.evacuations()) {
            if (before.contains(order.hall()) != now.contains(order.hall())) {
                log.line(DecisionKind.EVACUATION)
                        .with(DecisionField.HALL, order.hall())
                        .with(DecisionField.EVENT, order.evacuated() ? "evacuated" : "ended")
                        .with(DecisionField.INDEX, order.orderIndex())
                        .with(DecisionField.UNDER_WAY, targets.inFlightInHall(order.hall()))
                        .write();
            }
        }
    }

    /** Records that the last published state was current at a time. */
    public void publicationConfirmed(long atMillis) {
        targets.slowStarts().gatewaysConfirmed(atMillis);
    }

    /** Applies the slow starts of the services and the published gateways, before the targets that are judged by them. */
    private void updateSlowStarts(PublishedState newer) {
        SlowStarts slowStarts = targets.slowStarts();
        slowStarts.setServices(
                newer.configuration() == null ? Map.of() : newer.configuration().services());
        slowStarts.setGateways(
                settings.nodeAddress().toString(),
                gateways()
                        .collect(Collectors.toMap(
                                TargetSighting::address, TargetSighting::dataHall, (one, other) -> other)));
    }

    private void recordColdTarget(TargetSighting target, ColdCause cause, long forMillis) {
        metrics.targetNoticeChanged(cause.label());
        log.line(DecisionKind.NOTICE)
                .with(DecisionField.EVENT, cause.label())
                .with(DecisionField.TARGET, target.id())
                .with(DecisionField.COLD_MS, forMillis)
                .write();
    }

    /** Returns the health path of a target's service, null if it is unknown or the target wants no further requests. */
    private String healthPathToAsk(TargetSighting target) {
        if (published.configuration() == null || targets.isHeldBack(target.id())) {
            return null;
        }
        return service(target.service()).map(Service::healthPath).orElse(null);
    }

    /** Stops the requests in flight that have become condemned, before they crash their targets. */
    private void stopCondemned() {
        List.copyOf(inFlight).stream().filter(crashDetector::isCondemned).forEach(ForwardedRequest::stopCondemned);
    }

    /** Returns the number of published gateways, empty while this one is not among them. */
    private OptionalInt publishedGatewayCount() {
        Set<String> gateways = addresses(gateways());
        return gateways.contains(settings.nodeAddress().toString())
                ? OptionalInt.of(gateways.size())
                : OptionalInt.empty();
    }

    /** Returns the node addresses of the gateways in the same data hall. */
    private Set<String> gatewaysInDataHall() {
        return addresses(gateways().filter(gateway -> gateway.dataHall().equals(settings.dataHall())));
    }

    /** Returns the published gateways; each one registers as a weights relay. */
    private Stream<TargetSighting> gateways() {
        return published.targets().values().stream()
                .filter(target -> target.service().equals(WeightsRelay.SERVICE));
    }

    private static Set<String> addresses(Stream<TargetSighting> sightings) {
        return sightings.map(TargetSighting::address).collect(Collectors.toSet());
    }

    /**
     * Shuts down gracefully; the promise completes when every caller has its answer or the timeout expires. Further calls
     * return the same promise.
     */
    public Promise<Void> stop() {
        if (stopped == null) {
            stopped = new SettablePromise<>();
            long now = clock.millis();
            finalAnswerMillis = now + ShutdownSchedule.answerMillis(settings.stopTimeoutMillis());
            callers.drain();
            List.copyOf(inFlight).forEach(ForwardedRequest::limitToShutdown);
            checkStopComplete(now);
        }
        return stopped;
    }

    private void checkStopComplete(long since) {
        long now = clock.millis();
        long waited = now - since;
        if (ShutdownSchedule.isTrafficDrained(waited, settings.stopTimeoutMillis())) {
            outOfRotation = true;
            callers.refuseBodies();
            callers.closeIdle();
        }
        if (now >= finalAnswerMillis) {
            callers.rejectIncomplete();
        }
        // a connection that was opened just now has a request on its way
        boolean done = outOfRotation && callers.isUnconnected();
        if (done || ShutdownSchedule.mustExit(waited, settings.stopTimeoutMillis())) {
            log.line(DecisionKind.STOP)
                    .with(DecisionField.WAITED_MS, waited)
                    .with(DecisionField.UNDER_WAY, callers.activeRequests())
                    .write();
            callers.close();
            readiness.close();
            stopped.set(null);
            return;
        }
        reactor.delayBackground(STOP_CHECK_MILLIS, () -> checkStopComplete(since));
    }

    private ServerLimits callerLimits() {
        ServingConfiguration configuration = published.configuration();
        ClientLimits limits = configuration == null ? ClientLimits.DEFAULT : configuration.limits();
        return new ServerLimits(
                limits.maximumHeaderBytes(),
                limits.maximumBodyBytes(),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }

    private void answerReadiness(ServerExchange exchange) {
        boolean ready = stopped == null && published.configuration() != null;
        exchange.respond(HttpHead.response(ready ? 200 : 503, List.of()), EMPTY_BODY);
    }

    /** Handles a permit request from another gateway; returns the reply, not null. */
    public NodeReply handlePermitRequest(NodeRequest.RequestPermit request) {
        return permits.handleRequest(request);
    }

    // ---- requests

    private void handle(ServerExchange exchange) {
        RequestMetadata metadata = dialect.parseRequest(exchange.head());
        reportUnreadable(metadata);
        ServingConfiguration configuration = published.configuration();
        if (configuration == null || outOfRotation) {
            answer(exchange, metadata, 503, outOfRotation ? "shutting down" : "no configuration received");
            return;
        }
        Optional<Route> route = configuration.route(metadata.host(), metadata.path());
        if (route.isEmpty()) {
            deny(exchange, metadata, 404, "no route");
            return;
        }
        Account account = null;
        if (configuration.hasAccounts() && !route.get().allowsAnonymous()) {
            account = metadata.apiKey() == null
                    ? null
                    : configuration.accountForKey(metadata.apiKey()).orElse(null);
            if (account == null) {
                deny(exchange, metadata, 401, "unknown key");
                return;
            }
        } else if (metadata.apiKey() != null) {
            account = configuration.accountForKey(metadata.apiKey()).orElse(null);
        }
        new ForwardedRequest(this, exchange, metadata, route.get(), account).start();
    }

    private void reportUnreadable(RequestMetadata metadata) {
        int unreadable = metadata.promptParts().unreadable();
        if (unreadable > 0) {
            metrics.promptPartsUnreadable(unreadable);
            log.line(DecisionKind.METADATA)
                    .with(DecisionField.REQUEST, metadata.id())
                    .with(DecisionField.UNREADABLE_PARTS, unreadable)
                    .write();
        }
    }

    /** Denies a request, or answers 503 if an unconfirmed configuration may be out of date. */
    private void deny(ServerExchange exchange, RequestMetadata metadata, int status, String reason) {
        String inVersion = reason + " in version " + published.configuration().version();
        if (published.confirmed()) {
            answer(exchange, metadata, status, inVersion);
        } else {
            answer(exchange, metadata, 503, inVersion + ", which is not confirmed yet");
        }
    }

    private void answer(ServerExchange exchange, RequestMetadata metadata, int status, String reason) {
        long retryAfterMillis = outOfRotation ? RetryAfter.OTHER_GATEWAY_MILLIS : RetryAfter.NO_TARGET_MILLIS;
        log.line(DecisionKind.REFUSED)
                .with(DecisionField.REQUEST, metadata.id())
                .with(DecisionField.STATUS, status)
                .with(DecisionField.REASON, reason)
                .write();
        RequestOutcome outcome = status == 503 ? RequestOutcome.REFUSED : RequestOutcome.DENIED;
        metrics.requestEnded(NO_SERVICE, outcome, clock.millis() - exchange.receivedMillis());
        exchange.respond(dialect.buildResponse(status, metadata, status == 503 ? retryAfterMillis : 0), EMPTY_BODY);
    }

    // ---- used by forwarded requests

    /** Returns when every request must have its final answer, far in the future unless this gateway shuts down. */
    long finalAnswerMillis() {
        return finalAnswerMillis;
    }

    /** Returns the usual times of responses by route, not null. */
    ResponseTimes responseTimes() {
        return responseTimes;
    }

    RequestDialect dialect() {
        return dialect;
    }

    Eventloop reactor() {
        return reactor;
    }

    Clock clock() {
        return clock;
    }

    DecisionLog log() {
        return log;
    }

    ServingMetrics metrics() {
        return metrics;
    }

    /** Returns the index of the published state in force, 0 if none is. */
    long publishedIndex() {
        return published.index();
    }

    /** Returns true for one in {@code ANSWERS_PER_LOG_LINE} answered requests, which is then logged. */
    boolean shouldLogAnswer() {
        return answeredCount++ % ANSWERS_PER_LOG_LINE == 0;
    }

    RequestPolicy policy() {
        return policy;
    }

    ConnectionReusePolicy connectionTrust() {
        return connectionTrust;
    }

    TargetConnectionPool connections() {
        return connections;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    CompletenessCheck completenessCheck() {
        return completenessCheck;
    }

    /** Returns the memory for messages that must be received completely, not null. */
    BufferBudget buffers() {
        return buffers;
    }

    /** Returns the number of bytes accepted of a response that is not forwarded event by event. */
    long maxResponseBytes() {
        return 2 * buffers.messageBytes();
    }

    /** Records a response that was given up at a bound. */
    void recordOversized(BufferKind kind, BufferBound bound, String request, String target, long bytes) {
        metrics.messageTooLarge(kind.label(), bound.label());
        log.line(DecisionKind.OVERSIZED)
                .with(DecisionField.REQUEST, request)
                .with(DecisionField.TARGET, target)
                .with(DecisionField.MESSAGE, kind.label())
                .with(DecisionField.BOUND, bound.label())
                .with(DecisionField.BYTES, bytes)
                .write();
    }

    /** Records a response that was not accepted for the request that its connection carried. */
    void recordForeignResponse(ResponseMatch match, String request, String target, int status) {
        metrics.foreignResponse(match.label());
        log.line(DecisionKind.FOREIGN)
                .with(DecisionField.REQUEST, request)
                .with(DecisionField.TARGET, target)
                .with(DecisionField.STATUS, status)
                .with(DecisionField.REASON, match.label())
                .write();
    }

    /** Registers a request in flight. */
    void requestStarted(ForwardedRequest request) {
        inFlight.add(request);
    }

    /** Unregisters a request that was answered or whose caller disconnected. */
    void requestFinished(ForwardedRequest request) {
        inFlight.remove(request);
    }

    /** Polls engines for their load; the promise completes when the waiting request should be placed. */
    Promise<Void> pollLoad(List<String> targetIds) {
        return loadPoller.poll(targetIds);
    }

    /** Requests the permits that requests were lacking. */
    void requestPermits() {
        permits.requestWanted();
    }

    /** Waits for a permit; the promise completes when the waiting request should be placed. */
    Promise<Void> awaitPermit(NextStep.AwaitPermit wait) {
        return permits.awaitPermit(wait.target(), wait.timeoutMillis());
    }

    /** Reports that a response of a target changed or ended its rate limit. */
    void reportRateLimit(TargetState target) {
        permits.reportLimit(target);
    }

    /** Records that a request was sent to an engine. */
    void recordEngineRequest() {
        loadPoller.recordRequest();
    }

    Optional<Service> service(String name) {
        return published.configuration().service(name);
    }
}

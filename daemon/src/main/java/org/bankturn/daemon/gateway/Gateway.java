package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.HttpListener;
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
import org.bankturn.publication.NamedWeights;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.ComeBack;
import org.bankturn.routing.ConnectionTrust;
import org.bankturn.routing.NextStep;
import org.bankturn.routing.PlacementSettings;
import org.bankturn.routing.RequestPolicy;
import org.bankturn.routing.StopPlan;
import org.bankturn.routing.TargetState;
import org.bankturn.routing.TargetTable;
import org.bankturn.service.Account;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.time.Clock;

/**
 * Takes callers' requests, finds their route and account, and hands each to a {@link ForwardedRequest}.
 *
 * <p>Gateway is confined to its reactor's thread.
 */
public final class Gateway {
    private static final byte[] NOTHING = new byte[0];

    private static final long STOP_CHECK_MILLIS = 50;
    private static final long DUE_AFTER_START_MILLIS = 2_000;
    private static final int ANSWERS_PER_LINE = 64;
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
    private final ConnectionTrust trust;
    private final TargetConnections connections;
    private final RequestPolicy policy;
    private final LoadPoller loads;
    private final PermitCalls permits;
    private final CrashWatch crashes;
    private final Set<ForwardedRequest> underWay = new LinkedHashSet<>();
    private final long startedMillis;
    private PublishedState published = PublishedState.EMPTY;
    private boolean stopping;
    private boolean takenOut;
    private long answered;

    /**
     * Returns a gateway that does not serve yet, not null.
     *
     * @param settings what it must be told, not null
     * @param dialect how callers and targets speak, not null
     * @param reactor its reactor, not null
     * @param clients asks other processes, not null
     * @param controlGroup takes what all gateways must know, not null
     * @param clock the time, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     */
    public static Gateway of(
            GatewaySettings settings,
            RequestDialect dialect,
            Eventloop reactor,
            NodeClients clients,
            Consumer<PublicationCommand> controlGroup,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics) {
        return new Gateway(settings, dialect, reactor, clients, controlGroup, clock, log, metrics);
    }

    private Gateway(
            GatewaySettings settings,
            RequestDialect dialect,
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
        this.trust = clients.trust();
        this.connections = new TargetConnections(trust);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        this.targets = TargetTable.of(clock, settings.dataHall(), PlacementSettings.DEFAULT, random);
        this.policy = RequestPolicy.of(clock, targets, settings.retries(), random);
        this.loads = LoadPoller.of(reactor, clock, clients, targets, settings, metrics);
        this.permits = PermitCalls.of(settings.nodeAddress(), reactor, clock, clients, targets, random, log, metrics);
        metrics.tellHeldBack(targets::heldBackCounts);
        this.crashes = CrashWatch.of(
                settings.process(), reactor, clock, log, metrics, connections, controlGroup, this::stopCondemned);
        this.callers = HttpListener.create(
                reactor, clock, settings.callerAddress().toSocketAddress(), this::callerLimits, this::handle);
        this.readiness = HttpListener.create(
                reactor,
                clock,
                settings.readyAddress().toSocketAddress(),
                () -> ServerLimits.CONTROL,
                this::answerReadiness);
    }

    /** Starts to serve; call on the reactor's thread. */
    public void start() throws IOException {
        callers.listen();
        readiness.listen();
        loads.start();
    }

    /**
     * Takes in what is published now.
     *
     * <p>A gateway that was frozen or cut off learns of a version late; the version is due as early as for the others.
     *
     * @param newer what is published, not null
     * @param changedSinceMillis a moment at which nothing of what is new in it was in force yet
     */
    public void update(PublishedState newer, long changedSinceMillis) {
        boolean mayPredateStart = changedSinceMillis < startedMillis;
        long due = mayPredateStart
                ? clock.millis() + DUE_AFTER_START_MILLIS
                : changedSinceMillis + settings.weightsDeadlineMillis();
        for (NamedWeights named : newer.weights()) {
            policy.versionNamed(named.model(), named.version(), due);
        }
        published = newer;
        policy.update(newer.configuration(), gatewaysThere());
        connections.forget(targets.update(newer.targets().values()));
        loads.update(newer, gatewaysHere());
        permits.update(addresses(gateways()));
        crashes.update(newer.suspects(), newer.targets().values());
    }

    /** Copies of a condemned request that are under way would end their targets as well. */
    private void stopCondemned() {
        List.copyOf(underWay).stream().filter(crashes::isCondemned).forEach(ForwardedRequest::stopCondemned);
    }

    /** Returns how many gateways are published, empty while this one is not among them. */
    private OptionalInt gatewaysThere() {
        Set<String> gateways = addresses(gateways());
        return gateways.contains(settings.nodeAddress().toString())
                ? OptionalInt.of(gateways.size())
                : OptionalInt.empty();
    }

    /** Returns the node addresses of the gateways in the same data hall. */
    private Set<String> gatewaysHere() {
        return addresses(gateways().filter(gateway -> gateway.dataHall().equals(settings.dataHall())));
    }

    /** Returns the gateways as they announce themselves: each is a relay as well. */
    private Stream<TargetSighting> gateways() {
        return published.targets().values().stream()
                .filter(target -> target.service().equals(WeightsRelay.SERVICE));
    }

    private static Set<String> addresses(Stream<TargetSighting> sightings) {
        return sightings.map(TargetSighting::address).collect(Collectors.toSet());
    }

    /** Stops as planned; the promise completes when nothing is under way or time is up. */
    public Promise<Void> stop() {
        stopping = true;
        callers.drain();
        SettablePromise<Void> stopped = new SettablePromise<>();
        checkStopped(clock.millis(), stopped);
        return stopped;
    }

    private void checkStopped(long since, SettablePromise<Void> stopped) {
        long waited = clock.millis() - since;
        boolean noticed = StopPlan.isNoticed(waited);
        if (noticed) {
            takenOut = true;
            callers.closeResting();
        }
        boolean done = noticed && callers.underWay() == 0;
        if (done || StopPlan.isOver(waited, settings.stopMillis())) {
            log.line(DecisionKind.STOP)
                    .with(DecisionField.WAITED_MS, waited)
                    .with(DecisionField.UNDER_WAY, callers.underWay())
                    .write();
            callers.close();
            readiness.close();
            stopped.set(null);
            return;
        }
        reactor.delayBackground(STOP_CHECK_MILLIS, () -> checkStopped(since, stopped));
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
        boolean ready = !stopping && published.configuration() != null;
        exchange.answer(HttpHead.answer(ready ? 200 : 503, List.of()), NOTHING);
    }

    /** Answers another gateway that asks for a permit, not null. */
    public NodeReply givePermit(NodeRequest.AskPermit asked) {
        return permits.give(asked);
    }

    // ---- requests

    private void handle(ServerExchange exchange) {
        CallerTerms terms = dialect.terms(exchange.head());
        ServingConfiguration configuration = published.configuration();
        if (configuration == null || takenOut) {
            answer(exchange, terms, 503, takenOut ? "stops as planned" : "no configuration known");
            return;
        }
        Optional<Route> route = configuration.route(terms.host(), terms.path());
        if (route.isEmpty()) {
            deny(exchange, terms, 404, "no route");
            return;
        }
        Account account = null;
        if (configuration.hasAccounts() && !route.get().open()) {
            account = terms.key() == null
                    ? null
                    : configuration.accountOf(terms.key()).orElse(null);
            if (account == null) {
                deny(exchange, terms, 401, "unknown key");
                return;
            }
        } else if (terms.key() != null) {
            account = configuration.accountOf(terms.key()).orElse(null);
        }
        new ForwardedRequest(this, exchange, terms, route.get(), account).start();
    }

    /** Denies a request for good, unless a newer configuration that this process has not heard of may allow it. */
    private void deny(ServerExchange exchange, CallerTerms terms, int status, String reason) {
        String inVersion = reason + " in version " + published.configuration().version();
        if (published.confirmed()) {
            answer(exchange, terms, status, inVersion);
        } else {
            answer(exchange, terms, 503, inVersion + ", which is not confirmed yet");
        }
    }

    private void answer(ServerExchange exchange, CallerTerms terms, int status, String reason) {
        long comeBackMillis = takenOut ? ComeBack.TO_ANOTHER_GATEWAY_MILLIS : ComeBack.WITHOUT_TARGET_MILLIS;
        log.line(DecisionKind.REFUSED)
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.STATUS, status)
                .with(DecisionField.REASON, reason)
                .write();
        RequestOutcome outcome = status == 503 ? RequestOutcome.REFUSED : RequestOutcome.DENIED;
        metrics.requestEnded(NO_SERVICE, outcome, clock.millis() - exchange.receivedMillis());
        exchange.answer(dialect.ownAnswer(status, terms, status == 503 ? comeBackMillis : 0), NOTHING);
    }

    // ---- what forwarded requests need

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

    /** Returns true for one answered request in some, whose line is then written. */
    boolean isSampled() {
        return answered++ % ANSWERS_PER_LINE == 0;
    }

    RequestPolicy policy() {
        return policy;
    }

    ConnectionTrust trust() {
        return trust;
    }

    TargetConnections connections() {
        return connections;
    }

    CrashWatch crashes() {
        return crashes;
    }

    /** A request is on its way. */
    void began(ForwardedRequest request) {
        underWay.add(request);
    }

    /** A request has its final answer, or its caller left. */
    void ended(ForwardedRequest request) {
        underWay.remove(request);
    }

    /** Asks engines for their load; the promise completes when a request that waits for it should be placed. */
    Promise<Void> askForLoad(List<String> targetIds) {
        return loads.ask(targetIds);
    }

    /** Asks for the permits that requests could have used. */
    void askForPermits() {
        permits.askForWanted();
    }

    /** The promise completes when a request that waits for a permit should be placed. */
    Promise<Void> awaitPermit(NextStep.AwaitPermit wait) {
        return permits.await(wait.target(), wait.mostMillis());
    }

    /** A target's limit changed or ended, by one of its answers. */
    void limitChanged(TargetState target) {
        permits.tell(target);
    }

    /** A request left for an engine. */
    void sentToEngine() {
        loads.requestSent();
    }

    Optional<Service> service(String name) {
        return published.configuration().service(name);
    }
}

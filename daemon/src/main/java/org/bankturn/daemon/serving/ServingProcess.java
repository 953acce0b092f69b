package org.bankturn.daemon.serving;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.daemon.gateway.Gateway;
import org.bankturn.daemon.gateway.GatewaySettings;
import org.bankturn.daemon.group.GroupNode;
import org.bankturn.daemon.group.GroupSettings;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.observe.SilentConnectionReporter;
import org.bankturn.daemon.observe.UnhandledErrorHandler;
import org.bankturn.daemon.publication.Announcer;
import org.bankturn.daemon.publication.ChangeSubmitter;
import org.bankturn.daemon.publication.PublicationFollower;
import org.bankturn.daemon.publication.PublicationListener;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.weights.WeightsAgent;
import org.bankturn.daemon.weights.WeightsDependencies;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.daemon.weights.WeightsSettings;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.daemon.wire.NodeServer;
import org.bankturn.document.DocumentError;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/** A process that serves a platform through its dialects, in the role that its settings name. */
public final class ServingProcess {
    private static final long SETTINGS_CHECK_MILLIS = 1_000;

    /** The fraction of the weights deadline in which requests may start; the rest is for requests queued at engines. */
    private static final double WEIGHTS_DEADLINE_FRACTION = 0.88;

    private final SettingsSource source;
    private final Dialects dialects;
    private final Clock clock = Clock.system();
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final Eventloop reactor;
    private volatile ServingSettings settings;
    private long settingsStamp;
    private volatile boolean isReactorStarted;
    private volatile boolean hasStartFailed;
    private Gateway gateway;
    private GroupNode group;

    /** Returns a process that is not started, not null. */
    public static ServingProcess of(ServingSettings settings, SettingsSource source, Dialects dialects) {
        return new ServingProcess(settings, source, dialects);
    }

    private ServingProcess(ServingSettings settings, SettingsSource source, Dialects dialects) {
        this.settings = settings;
        this.source = source;
        this.dialects = dialects;
        this.log = DecisionLog.start(settings.process(), clock);
        this.metrics = ServingMetrics.of(log);
        this.reactor = Eventloop.builder()
                .withThreadName("serving")
                .withFatalErrorHandler(UnhandledErrorHandler.of(log, metrics))
                .build();
    }

    /** Starts the process; the future completes once it accepts connections. */
    public CompletableFuture<Void> start() throws IOException {
        settingsStamp = source.modificationStamp();
        reactor.keepAlive(true);
        new Thread(reactor, "serving").start();
        CompletableFuture<Void> started = reactor.submit(() -> {
            startRole();
            if (settings.metricsAddress() != null) {
                MetricsServer.of(reactor, clock, settings.metricsAddress(), metrics)
                        .listen();
            }
            scheduleSettingsCheck();
            log.line(DecisionKind.START)
                    .with(DecisionField.ROLE, settings.role())
                    .with(DecisionField.HALL, settings.dataHall())
                    .with(DecisionField.SEEDS, seeds())
                    .write();
            return Promise.complete();
        });
        // a stop during the start waits for it
        isReactorStarted = true;
        return started.whenComplete((ignored, failure) -> hasStartFailed = failure != null);
    }

    /**
     * Stops gracefully; returns when no request is in progress, or after the stop timeout. It may be called while the process
     * starts.
     */
    public void stop() {
        log.line(DecisionKind.STOP).with(DecisionField.EVENT, "planned stop").write();
        if (!isReactorStarted || hasStartFailed) {
            return;
        }
        reactor.submit(this::drain).join();
        if (group != null) {
            group.stop();
        }
    }

    private Promise<Void> drain() {
        if (gateway != null) {
            return gateway.stop();
        }
        return group == null
                ? Promise.complete()
                : group.drain(settings.bounds().stopTimeoutMillis());
    }

    /** Reloads the settings without waiting for the next check. */
    public void reload() {
        reactor.execute(this::reloadSettings);
    }

    private List<Address> seeds() {
        return settings.seeds();
    }

    private void startRole() throws IOException {
        switch (settings.role()) {
            case ENTRY -> startGateway();
            case CONTROL -> startGroup();
            case TARGET -> startWeights();
        }
    }

    private void startGateway() throws IOException {
        NodeClients clients = nodeClients();
        WeightsRelay relay = startRelay(clients);
        PublicationFollower follower = PublicationFollower.of(followerDependencies(clients), new PublicationListener() {
            @Override
            public void published(PublishedState newer, long changedSinceMillis) {
                gateway.update(newer, changedSinceMillis);
                relay.update(newer);
            }

            @Override
            public void confirmed(long atMillis) {
                gateway.publicationConfirmed(atMillis);
            }
        });
        ChangeSubmitter submitter = ChangeSubmitter.of(reactor, clients, follower::controlProcess, log);
        gateway = Gateway.of(
                gatewaySettings(),
                dialects.requests(),
                dialects.health(),
                reactor,
                clients,
                submitter::submit,
                clock,
                log,
                metrics);
        gateway.start();
        follower.start();
        announceRelay(clients, follower);
    }

    private GatewaySettings gatewaySettings() {
        return new GatewaySettings(
                settings.process(),
                settings.dataHall(),
                settings.callAddress(),
                settings.readyAddress(),
                settings.nodeAddress(),
                settings.bounds().retries(),
                (long) (settings.bounds().weightsDeadlineMillis() * WEIGHTS_DEADLINE_FRACTION),
                settings.bounds().stopTimeoutMillis(),
                settings.regions());
    }

    private NodeClients nodeClients() {
        return NodeClients.on(reactor, clock, SilentConnectionReporter.of(log, metrics));
    }

    private NodeServer nodeServer(Function<NodeRequest, Promise<NodeReply>> handler) {
        return NodeServer.create(
                reactor, clock, settings.nodeAddress(), handler, SilentConnectionReporter.of(log, metrics));
    }

    /** Starts the relay of weights, which uses the entry box's faster link. */
    private WeightsRelay startRelay(NodeClients clients) throws IOException {
        WeightsRelay relay = WeightsRelay.of(
                new WeightsRelay.RelaySettings(
                        settings.dataHall(), settings.nodeAddress(), settings.linkBytesPerSecond()),
                weightsDependencies(clients));
        nodeServer(request -> answer(relay, request)).listen();
        return relay;
    }

    private void announceRelay(NodeClients clients, PublicationFollower follower) {
        String incarnation = "relay-" + Long.toHexString(randomNumber());
        Announcer.of(
                        reactor,
                        clients,
                        follower,
                        sequence -> relaySighting(incarnation, sequence),
                        settings.bounds().heartbeatMillis(),
                        log)
                .start();
    }

    private static long randomNumber() {
        return RandomSource.XO_RO_SHI_RO_128_PP.create().nextLong();
    }

    private TargetSighting relaySighting(String incarnation, long sequence) {
        return new TargetSighting(
                incarnation,
                WeightsRelay.SERVICE,
                settings.nodeAddress().toString(),
                settings.dataHall(),
                0,
                false,
                WeightsRelay.NO_ENGINE,
                sequence);
    }

    private WeightsDependencies weightsDependencies(NodeClients clients) {
        return new WeightsDependencies(reactor, clients, dialects.weights(), clock, log, metrics);
    }

    private Promise<NodeReply> answer(WeightsRelay relay, NodeRequest request) {
        if (request instanceof NodeRequest.RequestPermit permit) {
            return Promise.of(gateway.handlePermitRequest(permit));
        }
        if (request instanceof NodeRequest.GetPiece get) {
            return relay.sendPiece(get);
        }
        if (request instanceof NodeRequest.AwaitPiece await) {
            return relay.awaitPiece(await);
        }
        return Promise.of(new NodeReply.Failed("not for an entry process"));
    }

    private void startGroup() throws IOException {
        group = GroupNode.of(
                new GroupSettings(
                        settings.process(),
                        settings.dataHall(),
                        settings.callAddress(),
                        settings.nodeAddress(),
                        settings.nodeAddress(),
                        settings.dataFolder(),
                        settings.bootstrapsGroup(),
                        settings.seeds(),
                        settings.bounds().heartbeatMillis(),
                        settings.regions(),
                        settings.bounds().toleratedLosses()),
                this::seeds,
                dialects.control(),
                dialects.health(),
                dialects.document(),
                reactor,
                clock,
                log,
                metrics);
        group.start();
    }

    private void startWeights() throws IOException {
        NodeClients clients = nodeClients();
        WeightsAgent agent = WeightsAgent.of(
                new WeightsSettings(
                        settings.process(),
                        settings.dataHall(),
                        settings.nodeAddress(),
                        settings.engineAddress(),
                        settings.service(),
                        settings.bounds().weightsDeadlineMillis(),
                        settings.linkBytesPerSecond()),
                weightsDependencies(clients));
        NodeServer server = nodeServer(request -> answer(agent, request));
        server.listen();
        PublicationFollower.of(
                        followerDependencies(clients), (published, changedSinceMillis) -> agent.update(published))
                .start();
        agent.start();
    }

    private static Promise<NodeReply> answer(WeightsAgent agent, NodeRequest request) {
        if (request instanceof NodeRequest.GetPiece get) {
            return agent.sendPiece(get);
        }
        if (request instanceof NodeRequest.AwaitPiece await) {
            return agent.awaitPiece(await);
        }
        if (request instanceof NodeRequest.GetLoad) {
            return agent.reportLoad();
        }
        return Promise.of(new NodeReply.Failed("not for a weights process"));
    }

    private PublicationFollower.Wiring followerDependencies(NodeClients clients) {
        return new PublicationFollower.Wiring(
                reactor, clients, this::seeds, settings.dataHall(), dialects.document(), clock, log, metrics);
    }

    // ---- settings reload

    private void scheduleSettingsCheck() {
        reactor.delayBackground(SETTINGS_CHECK_MILLIS, () -> {
            try {
                if (source.modificationStamp() != settingsStamp) {
                    reloadSettings();
                }
            } catch (IOException e) {
                log.line(DecisionKind.RELOAD)
                        .with(DecisionField.OUTCOME, "unreadable")
                        .with(DecisionField.ERROR, e.getMessage())
                        .write();
            }
            scheduleSettingsCheck();
        });
    }

    private void reloadSettings() {
        try {
            settingsStamp = source.modificationStamp();
            SettingsSource.Result read = source.read();
            if (read.settings() == null) {
                for (DocumentError error : read.errors()) {
                    log.line(DecisionKind.RELOAD)
                            .with(DecisionField.OUTCOME, "refused")
                            .with(DecisionField.ERROR, error)
                            .write();
                }
                return;
            }
            settings = read.settings();
            log.line(DecisionKind.RELOAD)
                    .with(DecisionField.OUTCOME, "taken up")
                    .with(DecisionField.SEEDS, seeds())
                    .write();
        } catch (IOException e) {
            log.line(DecisionKind.RELOAD)
                    .with(DecisionField.OUTCOME, "unreadable")
                    .with(DecisionField.ERROR, e.getMessage())
                    .write();
        }
    }
}

package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.LoadPollSchedule;
import org.bankturn.routing.PlacementSettings;
import org.bankturn.routing.TargetTable;
import org.bankturn.routing.WatchPlan;
import org.bankturn.time.Clock;

/**
 * Polls the processes beside engines for their load, as scheduled by {@link WatchPlan} and {@link LoadPollSchedule}.
 *
 * <p>The response time also indicates how slow the network path to the engine is. LoadPoller is confined to its
 * reactor's thread.
 */
final class LoadPoller {
    private static final long RESPONSE_TIMEOUT_MILLIS = 600;

    /** How long a request waits for load reports; ten times what they take between data halls. */
    private static final long PLACEMENT_TIMEOUT_MILLIS = 25;

    /** How often the set of watched engines is recomputed from the gateway's own load. */
    private static final long WATCH_PLAN_INTERVAL_MILLIS = 1_000;

    /** Minimum time between polling rounds, which limits the number of wake-ups. */
    private static final long MIN_POLL_INTERVAL_MILLIS = 20;

    private final Eventloop reactor;
    private final Clock clock;
    private final NodeClients clients;
    private final TargetTable targets;
    private final GatewaySettings settings;
    private final ServingMetrics metrics;
    private final WatchPlan plan;
    private final LoadPollSchedule pollSchedule;
    private PublishedState published = PublishedState.EMPTY;
    private Set<String> gatewaysInDataHall = Set.of();
    private int peakInFlight;
    private boolean started;

    static LoadPoller of(
            Eventloop reactor,
            Clock clock,
            NodeClients clients,
            TargetTable targets,
            GatewaySettings settings,
            ServingMetrics metrics) {
        return new LoadPoller(reactor, clock, clients, targets, settings, metrics);
    }

    private LoadPoller(
            Eventloop reactor,
            Clock clock,
            NodeClients clients,
            TargetTable targets,
            GatewaySettings settings,
            ServingMetrics metrics) {
        this.reactor = reactor;
        this.clock = clock;
        this.clients = clients;
        this.targets = targets;
        this.settings = settings;
        this.metrics = metrics;
        this.plan =
                WatchPlan.of(PlacementSettings.DEFAULT, settings.nodeAddress().toString(), settings.dataHall());
        this.pollSchedule = LoadPollSchedule.of(PlacementSettings.DEFAULT);
    }

    void start() {
        started = true;
        refreshWatchPlan();
        schedulePoll();
    }

    /**
     * Applies a newly published state.
     *
     * @param newer the published state, not null
     * @param gateways the node addresses of the gateways in the same data hall, not null
     */
    void update(PublishedState newer, Set<String> gateways) {
        published = newer;
        gatewaysInDataHall = gateways;
        if (started) {
            updateWatchedEngines();
        }
    }

    /** Polls engines immediately; the promise completes when all have answered or the wait is over. */
    Promise<Void> poll(List<String> ids) {
        SettablePromise<Void> answered = new SettablePromise<>();
        Promises.all(ids.stream().map(this::poll).toList()).whenComplete(() -> answered.trySet(null));
        reactor.delayBackground(PLACEMENT_TIMEOUT_MILLIS, () -> {
            if (answered.trySet(null)) {
                ids.forEach(id -> targets.pollOverdue(id, clock.millis() - PLACEMENT_TIMEOUT_MILLIS));
            }
        });
        return answered;
    }

    /** Records that the gateway sent a request to an engine. */
    void recordRequest() {
        pollSchedule.requestSent(clock.millis());
        peakInFlight = Math.max(peakInFlight, targets.inFlightAtEngines());
    }

    private void refreshWatchPlan() {
        updateWatchedEngines();
        peakInFlight = targets.inFlightAtEngines();
        reactor.delayBackground(WATCH_PLAN_INTERVAL_MILLIS, this::refreshWatchPlan);
    }

    private void updateWatchedEngines() {
        Set<String> evacuatedHalls = published.evacuatedHalls();
        List<WatchPlan.Engine> engines = published.targets().values().stream()
                .filter(target -> target.heldVersion() >= 0)
                .filter(target -> !evacuatedHalls.contains(target.dataHall()))
                .map(target -> new WatchPlan.Engine(target.id(), target.dataHall(), target.slots()))
                .toList();
        // watches substitutes for engines that are held back, so that their requests do not overload unwatched engines
        Set<String> selected = new HashSet<>(plan.watched(engines, gatewaysInDataHall, peakInFlight));
        List<WatchPlan.Engine> available = engines.stream()
                .filter(engine -> !targets.isHeldBack(engine.id()))
                .toList();
        if (available.size() < engines.size()) {
            selected.addAll(plan.watched(available, gatewaysInDataHall, peakInFlight));
        }
        Set<String> near = new HashSet<>();
        Set<String> far = new HashSet<>();
        for (String id : selected) {
            boolean isNear = published.targets().get(id).dataHall().equals(settings.dataHall());
            (isNear ? near : far).add(id);
        }
        targets.setWatched(selected);
        pollSchedule.setWatched(near, far, clock.millis());
    }

    private void schedulePoll() {
        long pause = Math.max(MIN_POLL_INTERVAL_MILLIS, pollSchedule.nextPollDelayMillis(clock.millis()));
        reactor.delayBackground(pause, () -> {
            pollDue();
            schedulePoll();
        });
    }

    private void pollDue() {
        pollSchedule.next(clock.millis()).ifPresent(id -> {
            poll(id);
            pollDue();
        });
    }

    private Promise<Void> poll(String id) {
        TargetSighting target = published.targets().get(id);
        if (target == null) {
            return Promise.complete();
        }
        Address address = new Address(
                Address.parse(target.address()).host(), settings.nodeAddress().port());
        long askedMillis = clock.millis();
        return clients.ask(address, new NodeRequest.GetLoad(), RESPONSE_TIMEOUT_MILLIS)
                .then((reply, failure) -> {
                    long elapsedMillis = clock.millis() - askedMillis;
                    boolean answered = failure == null && reply instanceof NodeReply.Load;
                    metrics.loadPollEnded(answered);
                    if (answered && reply instanceof NodeReply.Load report && report.load() != null) {
                        targets.loadReported(id, report.load(), report.ageMillis(), elapsedMillis);
                        targets.interruptionAnnounced(id, report.breaksOffInMillis());
                    } else {
                        targets.pollFailed(id, elapsedMillis);
                    }
                    return Promise.complete();
                });
    }
}

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
import org.bankturn.routing.LoadQuestions;
import org.bankturn.routing.PlacementSettings;
import org.bankturn.routing.TargetTable;
import org.bankturn.routing.WatchPlan;
import org.bankturn.time.Clock;

/**
 * Asks the processes beside engines for their load, as {@link WatchPlan} and {@link LoadQuestions} say.
 *
 * <p>How long an answer takes tells how slow the path is; requests on it would be held up as well. LoadPoller is confined
 * to its reactor's thread.
 */
final class LoadPoller {
    private static final long ANSWER_MILLIS = 600;

    /** A request waits for the answers to its questions no longer: ten times what they take between data halls. */
    private static final long QUESTION_MILLIS = 25;

    /** How often the engines to watch are chosen anew by the gateway's own load. */
    private static final long PLAN_MILLIS = 1_000;

    /** Questions are asked at least that far apart, several at a time if need be: each wake-up costs. */
    private static final long LEAST_PAUSE_MILLIS = 20;

    private final Eventloop reactor;
    private final Clock clock;
    private final NodeClients clients;
    private final TargetTable targets;
    private final GatewaySettings settings;
    private final ServingMetrics metrics;
    private final WatchPlan plan;
    private final LoadQuestions questions;
    private PublishedState published = PublishedState.EMPTY;
    private Set<String> gatewaysHere = Set.of();
    private int busiest;
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
        this.questions = LoadQuestions.of(PlacementSettings.DEFAULT);
    }

    void start() {
        started = true;
        planAgain();
        askLater();
    }

    /**
     * Takes in what is published now.
     *
     * @param newer what is published, not null
     * @param gateways the node addresses of the gateways in the same data hall, not null
     */
    void update(PublishedState newer, Set<String> gateways) {
        published = newer;
        gatewaysHere = gateways;
        if (started) {
            watch();
        }
    }

    /** Asks some engines at once; the promise completes when all have answered, or a request should not wait longer. */
    Promise<Void> ask(List<String> ids) {
        SettablePromise<Void> answered = new SettablePromise<>();
        Promises.all(ids.stream().map(this::ask).toList()).whenComplete(() -> answered.trySet(null));
        reactor.delayBackground(QUESTION_MILLIS, () -> {
            if (answered.trySet(null)) {
                ids.forEach(id -> targets.unheardSince(id, clock.millis() - QUESTION_MILLIS));
            }
        });
        return answered;
    }

    /** The gateway sent a request to an engine. */
    void requestSent() {
        questions.requestSent(clock.millis());
        busiest = Math.max(busiest, targets.inFlightAtEngines());
    }

    private void planAgain() {
        watch();
        busiest = targets.inFlightAtEngines();
        reactor.delayBackground(PLAN_MILLIS, this::planAgain);
    }

    private void watch() {
        List<WatchPlan.Engine> engines = published.targets().values().stream()
                .filter(target -> target.heldVersion() >= 0)
                .map(target -> new WatchPlan.Engine(target.id(), target.dataHall(), target.slots()))
                .toList();
        // in place of engines that are held back others are watched, which would be run over otherwise
        Set<String> watched = new HashSet<>(plan.watched(engines, gatewaysHere, busiest));
        List<WatchPlan.Engine> free = engines.stream()
                .filter(engine -> !targets.isHeldBack(engine.id()))
                .toList();
        if (free.size() < engines.size()) {
            watched.addAll(plan.watched(free, gatewaysHere, busiest));
        }
        Set<String> near = new HashSet<>();
        Set<String> far = new HashSet<>();
        for (String id : watched) {
            boolean isNear = published.targets().get(id).dataHall().equals(settings.dataHall());
            (isNear ? near : far).add(id);
        }
        targets.watch(watched);
        questions.watch(near, far, clock.millis());
    }

    private void askLater() {
        long pause = Math.max(LEAST_PAUSE_MILLIS, questions.untilNextMillis(clock.millis()));
        reactor.delayBackground(pause, () -> {
            askAllDue();
            askLater();
        });
    }

    private void askAllDue() {
        questions.next(clock.millis()).ifPresent(id -> {
            ask(id);
            askAllDue();
        });
    }

    private Promise<Void> ask(String id) {
        TargetSighting target = published.targets().get(id);
        if (target == null) {
            return Promise.complete();
        }
        Address process = new Address(
                Address.parse(target.address()).host(), settings.nodeAddress().port());
        long askedMillis = clock.millis();
        return clients.ask(process, new NodeRequest.GetLoad(), ANSWER_MILLIS).then((reply, failure) -> {
            long tookMillis = clock.millis() - askedMillis;
            boolean answered = failure == null && reply instanceof NodeReply.Load;
            metrics.loadQuestionEnded(answered);
            if (answered && reply instanceof NodeReply.Load told && told.load() != null) {
                targets.reported(id, told.load(), told.ageMillis(), tookMillis);
                targets.breaksOff(id, told.breaksOffInMillis());
            } else {
                targets.unheard(id, tookMillis);
            }
            return Promise.complete();
        });
    }
}

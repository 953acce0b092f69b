package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.routing.NoticeChange;
import org.bankturn.routing.PermitCoordinator;
import org.bankturn.routing.RateLimit;
import org.bankturn.routing.TargetState;
import org.bankturn.routing.TargetTable;
import org.bankturn.time.Clock;

/**
 * Asks the gateway that is responsible for a rate-limited target for permits, and hands out those that this gateway is
 * responsible for.
 *
 * <p>Moments are told as ages, since gateways' clocks differ. PermitExchange is confined to its reactor's thread.
 */
final class PermitExchange {
    /** A permit that comes later is of little use: it is valid from when it was asked for. */
    private static final long ANSWER_MILLIS = 400;

    private final String self;
    private final Eventloop reactor;
    private final Clock clock;
    private final NodeClients clients;
    private final TargetTable targets;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final PermitCoordinator coordinator;
    private final Map<TargetState, List<SettablePromise<Void>>> waiting = new HashMap<>();
    private Set<String> gateways = Set.of();

    /**
     * Returns calls of a gateway that knows of no other, not null.
     *
     * @param self the node address of this gateway, not null
     * @param reactor its reactor, not null
     * @param clock the time, not null
     * @param clients asks other processes, not null
     * @param targets the targets that this gateway knows, not null
     * @param random random numbers, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     */
    static PermitExchange of(
            Address self,
            Eventloop reactor,
            Clock clock,
            NodeClients clients,
            TargetTable targets,
            UniformRandomProvider random,
            DecisionLog log,
            ServingMetrics metrics) {
        return new PermitExchange(self, reactor, clock, clients, targets, random, log, metrics);
    }

    private PermitExchange(
            Address self,
            Eventloop reactor,
            Clock clock,
            NodeClients clients,
            TargetTable targets,
            UniformRandomProvider random,
            DecisionLog log,
            ServingMetrics metrics) {
        this.self = self.toString();
        this.reactor = reactor;
        this.clock = clock;
        this.clients = clients;
        this.targets = targets;
        this.log = log;
        this.metrics = metrics;
        this.coordinator = PermitCoordinator.of(clock, random);
    }

    /** Takes in the node addresses of the gateways that are published. */
    void update(Set<String> published) {
        gateways = published;
    }

    /** Asks for the permits that requests could have used. */
    void requestWanted() {
        for (TargetState target : targets.takePermitsWanted()) {
            askFor(target);
        }
    }

    /**
     * Waits for a permit that is being asked for, or for the time of one that is held.
     *
     * @param target the target, not null
     * @param mostMillis how long to wait at most
     * @return completes when a request should be placed again, not null
     */
    Promise<Void> awaitPermit(TargetState target, long mostMillis) {
        SettablePromise<Void> ready = new SettablePromise<>();
        if (target.isAskingPermit()) {
            waiting.computeIfAbsent(target, key -> new ArrayList<>()).add(ready);
            reactor.delayBackground(mostMillis, () -> ready.trySet(null));
        } else {
            long untilPermit = Math.min(mostMillis, target.untilPermitMillis(clock.millis()));
            reactor.delayBackground(Math.max(1, untilPermit), () -> ready.trySet(null));
        }
        return ready;
    }

    /** Tells the gateway that is responsible for a target that its limit changed or ended. */
    void reportLimit(TargetState target) {
        ask(target, false).whenException(failure -> unanswered(target, failure));
    }

    private void unanswered(TargetState target, Exception failure) {
        metrics.permitAsked(ServingMetrics.PERMIT_UNANSWERED);
        log.line(DecisionKind.NOTICE)
                .with(DecisionField.EVENT, "permits_unanswered")
                .with(DecisionField.TARGET, target.sighting().id())
                .with(DecisionField.ERROR, failure)
                .write();
    }

    private void askFor(TargetState target) {
        long askedMillis = clock.millis();
        target.permitAsked();
        ask(target, true).whenComplete((answer, failure) -> {
            if (failure == null) {
                answered(target, answer, askedMillis);
                metrics.permitAsked(answer.granted() ? ServingMetrics.PERMIT_GRANTED : ServingMetrics.PERMIT_REFUSED);
            } else {
                target.permitUnanswered(clock.millis());
                unanswered(target, failure);
            }
            placeWaiting(target);
        });
    }

    private void placeWaiting(TargetState target) {
        List<SettablePromise<Void>> requests = waiting.remove(target);
        if (requests != null) {
            requests.forEach(request -> request.trySet(null));
        }
    }

    private void answered(TargetState target, PermitCoordinator.Answer answer, long askedMillis) {
        RateLimit before = target.rateLimit();
        target.permitAnswered(answer, askedMillis, clock.millis());
        RateLimit after = target.rateLimit();
        if (after.inForce() == before.inForce() && after.perSecond() == before.perSecond()) {
            return;
        }
        NoticeChange change = after.inForce() ? NoticeChange.LIMIT_CHANGED : NoticeChange.LIMIT_ENDED;
        metrics.targetNoticed(change.label());
        log.line(DecisionKind.NOTICE)
                .with(DecisionField.EVENT, change.label())
                .with(DecisionField.TARGET, target.sighting().id())
                .with(DecisionField.PER_SECOND, after.perSecond())
                .with(DecisionField.FROM, "another gateway")
                .write();
    }

    private Promise<PermitCoordinator.Answer> ask(TargetState target, boolean wants) {
        String id = target.sighting().id();
        RateLimit limit = target.rateLimit();
        Optional<String> responsible = PermitCoordinator.responsible(id, gateways);
        if (responsible.isEmpty()) {
            return Promise.ofException(new IllegalStateException("no gateway is published"));
        }
        if (responsible.get().equals(self)) {
            return Promise.of(coordinator.ask(id, self, limit, wants));
        }
        NodeRequest.AskPermit question = new NodeRequest.AskPermit(
                id, self, limit.inForce(), limit.perSecond(), clock.millis() - limit.asOfMillis(), wants);
        return clients.ask(Address.parse(responsible.get()), question, ANSWER_MILLIS)
                .then(reply -> reply instanceof NodeReply.Permit permit
                        ? Promise.of(answer(permit))
                        : Promise.ofException(new IllegalStateException("not answered by a permit: " + reply)));
    }

    private PermitCoordinator.Answer answer(NodeReply.Permit permit) {
        RateLimit limit = limit(permit.limited(), permit.perSecond(), permit.ageMillis());
        return new PermitCoordinator.Answer(limit, permit.granted(), permit.inMillis());
    }

    /** Answers another gateway. */
    NodeReply handleRequest(NodeRequest.AskPermit asked) {
        RateLimit told = limit(asked.limited(), asked.perSecond(), asked.ageMillis());
        PermitCoordinator.Answer answer = coordinator.ask(asked.target(), asked.gateway(), told, asked.wants());
        RateLimit known = answer.limit();
        return new NodeReply.Permit(
                known.inForce(),
                known.perSecond(),
                clock.millis() - known.asOfMillis(),
                answer.granted(),
                answer.inMillis());
    }

    private RateLimit limit(boolean limited, double perSecond, long ageMillis) {
        return new RateLimit(limited, perSecond, clock.millis() - ageMillis);
    }
}

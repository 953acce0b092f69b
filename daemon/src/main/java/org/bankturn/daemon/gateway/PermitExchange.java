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
 * Requests permits for rate-limited targets from the gateways that coordinate them, and grants permits for the targets
 * that this gateway coordinates.
 *
 * <p>Times are exchanged as ages because the clocks of gateways differ. PermitExchange is confined to its reactor's
 * thread.
 */
final class PermitExchange {
    /** The validity of a permit starts with its request, so a later one is of little use. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 400;

    private final String selfAddress;
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
     * Returns an exchange that knows no gateways yet, not null.
     *
     * @param selfAddress the node address of this gateway, not null
     * @param reactor the event loop, not null
     * @param clock the clock, not null
     * @param clients calls other processes, not null
     * @param targets the known targets, not null
     * @param random the random number source, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     */
    static PermitExchange of(
            Address selfAddress,
            Eventloop reactor,
            Clock clock,
            NodeClients clients,
            TargetTable targets,
            UniformRandomProvider random,
            DecisionLog log,
            ServingMetrics metrics) {
        return new PermitExchange(selfAddress, reactor, clock, clients, targets, random, log, metrics);
    }

    private PermitExchange(
            Address selfAddress,
            Eventloop reactor,
            Clock clock,
            NodeClients clients,
            TargetTable targets,
            UniformRandomProvider random,
            DecisionLog log,
            ServingMetrics metrics) {
        this.selfAddress = selfAddress.toString();
        this.reactor = reactor;
        this.clock = clock;
        this.clients = clients;
        this.targets = targets;
        this.log = log;
        this.metrics = metrics;
        this.coordinator = PermitCoordinator.of(clock, random);
    }

    /** Sets the node addresses of the published gateways. */
    void update(Set<String> published) {
        gateways = published;
    }

    /** Requests the permits that requests were lacking. */
    void requestWanted() {
        for (TargetState target : targets.drainPermitRequests()) {
            requestPermit(target);
        }
    }

    /**
     * Waits for a requested permit, or until a granted permit becomes valid.
     *
     * @param target the target, not null
     * @param maxWaitMillis the maximum wait
     * @return a promise that completes when the request should be placed again, not null
     */
    Promise<Void> awaitPermit(TargetState target, long maxWaitMillis) {
        SettablePromise<Void> ready = new SettablePromise<>();
        if (target.isPermitPending()) {
            waiting.computeIfAbsent(target, key -> new ArrayList<>()).add(ready);
            reactor.delayBackground(maxWaitMillis, () -> ready.trySet(null));
        } else {
            long untilPermit = Math.min(maxWaitMillis, target.untilPermitUsableMillis(clock.millis()));
            reactor.delayBackground(Math.max(1, untilPermit), () -> ready.trySet(null));
        }
        return ready;
    }

    /** Reports a changed or ended rate limit to the gateway that coordinates the target. */
    void reportLimit(TargetState target) {
        askCoordinator(target, false).whenException(failure -> recordUnanswered(target, failure));
    }

    private void recordUnanswered(TargetState target, Exception failure) {
        metrics.permitRequested(ServingMetrics.PERMIT_UNANSWERED);
        log.line(DecisionKind.NOTICE)
                .with(DecisionField.EVENT, "permits_unanswered")
                .with(DecisionField.TARGET, target.sighting().id())
                .with(DecisionField.ERROR, failure)
                .write();
    }

    private void requestPermit(TargetState target) {
        long askedMillis = clock.millis();
        target.permitRequested();
        askCoordinator(target, true).whenComplete((answer, failure) -> {
            if (failure == null) {
                applyAnswer(target, answer, askedMillis);
                metrics.permitRequested(
                        answer.granted() ? ServingMetrics.PERMIT_GRANTED : ServingMetrics.PERMIT_REFUSED);
            } else {
                target.permitUnanswered(clock.millis());
                recordUnanswered(target, failure);
            }
            releaseWaiting(target);
        });
    }

    private void releaseWaiting(TargetState target) {
        List<SettablePromise<Void>> requests = waiting.remove(target);
        if (requests != null) {
            requests.forEach(request -> request.trySet(null));
        }
    }

    private void applyAnswer(TargetState target, PermitCoordinator.Answer answer, long askedMillis) {
        RateLimit before = target.rateLimit();
        target.permitAnswered(answer, askedMillis, clock.millis());
        RateLimit after = target.rateLimit();
        if (after.inForce() == before.inForce() && after.perSecond() == before.perSecond()) {
            return;
        }
        NoticeChange change = after.inForce() ? NoticeChange.LIMIT_CHANGED : NoticeChange.LIMIT_ENDED;
        metrics.targetNoticeChanged(change.label());
        log.line(DecisionKind.NOTICE)
                .with(DecisionField.EVENT, change.label())
                .with(DecisionField.TARGET, target.sighting().id())
                .with(DecisionField.PER_SECOND, after.perSecond())
                .with(DecisionField.FROM, "another gateway")
                .write();
    }

    private Promise<PermitCoordinator.Answer> askCoordinator(TargetState target, boolean wantsPermit) {
        String id = target.sighting().id();
        RateLimit limit = target.rateLimit();
        Optional<String> coordinatorAddress = PermitCoordinator.responsible(id, gateways);
        if (coordinatorAddress.isEmpty()) {
            return Promise.ofException(new IllegalStateException("no gateway is published"));
        }
        if (coordinatorAddress.get().equals(selfAddress)) {
            return Promise.of(coordinator.ask(id, selfAddress, limit, wantsPermit));
        }
        NodeRequest.RequestPermit request = new NodeRequest.RequestPermit(
                id, selfAddress, limit.inForce(), limit.perSecond(), clock.millis() - limit.asOfMillis(), wantsPermit);
        return clients.ask(Address.parse(coordinatorAddress.get()), request, RESPONSE_TIMEOUT_MILLIS)
                .then(reply -> reply instanceof NodeReply.Permit permit
                        ? Promise.of(toAnswer(permit))
                        : Promise.ofException(
                                new IllegalStateException("unexpected reply to permit request: " + reply)));
    }

    private PermitCoordinator.Answer toAnswer(NodeReply.Permit permit) {
        RateLimit limit = toRateLimit(permit.limited(), permit.perSecond(), permit.ageMillis());
        return new PermitCoordinator.Answer(limit, permit.granted(), permit.inMillis());
    }

    /** Handles a permit request from another gateway. */
    NodeReply handleRequest(NodeRequest.RequestPermit request) {
        RateLimit reported = toRateLimit(request.limited(), request.perSecond(), request.ageMillis());
        PermitCoordinator.Answer answer =
                coordinator.ask(request.target(), request.gateway(), reported, request.wants());
        RateLimit current = answer.limit();
        return new NodeReply.Permit(
                current.inForce(),
                current.perSecond(),
                clock.millis() - current.asOfMillis(),
                answer.granted(),
                answer.inMillis());
    }

    private RateLimit toRateLimit(boolean limited, double perSecond, long ageMillis) {
        return new RateLimit(limited, perSecond, clock.millis() - ageMillis);
    }
}

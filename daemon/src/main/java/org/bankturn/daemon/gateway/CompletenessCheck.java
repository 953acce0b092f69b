package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import java.util.HashSet;
import java.util.Set;
import org.bankturn.daemon.gateway.IncarnationCheck.Result;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.registry.TargetSighting;

/**
 * Determines whether responses that only the end of their connection delimits are complete.
 *
 * <p>A crash ends connections as a complete response does. Such a response is therefore complete only if its target shows,
 * after the end of the connection, that it has not crashed: by an answer that names its incarnation, or, if it was leaving,
 * by having itself removed. Without either in time the response counts as cut.
 *
 * <p>CompletenessCheck is confined to its reactor's thread.
 */
final class CompletenessCheck {
    /** The time for an answer; a target whose slots are all in use answers once one is free. */
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

    private final IncarnationCheck.Dependencies checks;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final DepartureMonitor departures;

    /** The services with targets that may restart under their names and whose responses ended with their connections. */
    private final Set<String> closeDelimiting = new HashSet<>();

    /**
     * Returns a check, not null.
     *
     * @param checks what checks of incarnations need, not null
     * @param departures the planned ends of targets, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     */
    static CompletenessCheck of(
            IncarnationCheck.Dependencies checks,
            DepartureMonitor departures,
            DecisionLog log,
            ServingMetrics metrics) {
        return new CompletenessCheck(checks, departures, log, metrics);
    }

    private CompletenessCheck(
            IncarnationCheck.Dependencies checks,
            DepartureMonitor departures,
            DecisionLog log,
            ServingMetrics metrics) {
        this.checks = checks;
        this.log = log;
        this.metrics = metrics;
        this.departures = departures;
    }

    /** Returns true if a response of the target may need a connection from before its request. */
    boolean needsWitness(TargetSighting target) {
        return !target.hasUniqueName() && closeDelimiting.contains(target.service());
    }

    /** Opens a connection to a target before a request is sent to it; the promise is of null if that fails. */
    Promise<WitnessConnection> openWitness(TargetSighting target) {
        return WitnessConnection.open(checks, target);
    }

    /** Records that a response has begun which only the end of its connection delimits. */
    void responseBegun(TargetSighting target) {
        if (!target.hasUniqueName()) {
            closeDelimiting.add(target.service());
        }
    }

    /**
     * Determines whether a response whose connection has just ended is complete.
     *
     * @param target the target that sent it, not null
     * @param request the request, not null
     * @param witness a connection from before the request, null if there is none
     * @return a promise of true if it is complete, not null
     */
    Promise<Boolean> isComplete(TargetSighting target, ForwardedRequest request, WitnessConnection witness) {
        metrics.responseEndedAtClose(request.service().name());
        Decision decision = new Decision(target, request, checks.clock().millis());
        boolean mayDepart = target.draining() && departures.isPublished(target.id());
        long updates = departures.updates();
        String healthPath = request.service().healthPath();
        TargetConnection earlier = witness == null ? null : witness.take();
        return IncarnationCheck.start(checks, target, healthPath, earlier, ANSWER_TIMEOUT_MILLIS)
                .result()
                .then(result -> {
                    if (result.outcome().showsLife() || !mayDepart) {
                        return decision.make(
                                result,
                                result.outcome().showsLife(),
                                result.outcome().label());
                    }
                    return departures
                            .awaitDeparture(target.id(), updates)
                            .then(departed -> decision.make(result, departed, departed ? "left" : "did not leave"));
                });
    }

    /** A decision that is being made. */
    private final class Decision {
        private final TargetSighting target;
        private final ForwardedRequest request;
        private final long endMillis;

        Decision(TargetSighting target, ForwardedRequest request, long endMillis) {
            this.target = target;
            this.request = request;
            this.endMillis = endMillis;
        }

        Promise<Boolean> make(Result result, boolean complete, String reason) {
            metrics.incarnationChecked(result.outcome().label());
            log.line(DecisionKind.RESPONSE_END)
                    .with(DecisionField.REQUEST, request.metadata().id())
                    .with(DecisionField.TARGET, target.id())
                    .with(DecisionField.OUTCOME, complete ? "complete" : "cut")
                    .with(DecisionField.REASON, reason)
                    .with(DecisionField.CHECK, result.outcome().label())
                    .with(DecisionField.ANSWERED_BY, result.sender().orElse(""))
                    .with(DecisionField.CHECKS, result.requests())
                    .with(DecisionField.TOOK_MS, checks.clock().millis() - endMillis)
                    .write();
            return Promise.of(complete);
        }
    }
}

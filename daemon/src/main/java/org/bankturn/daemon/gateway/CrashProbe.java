package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bankturn.crash.InterruptedRequests;
import org.bankturn.daemon.gateway.IncarnationCheck.Result;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.registry.TargetSighting;

/**
 * Checks targets that closed a connection: one has crashed if its address refuses connections or another incarnation
 * answers there, and lives if it answers itself.
 *
 * <p>CrashProbe is confined to its reactor's thread.
 */
final class CrashProbe {
    /** How long a request that one more crash would condemn waits for the checks of its targets. */
    static final long DECISION_MILLIS = 250;

    /** Delay before a target that answered is checked again; a crashing process may answer others before it ends. */
    private static final long SECOND_CHECK_DELAY_MILLIS = 150;

    /** The time after which a check ends undecided. */
    private static final long CHECK_TIMEOUT_MILLIS = 250;

    private final IncarnationCheck.Dependencies checks;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final InterruptedRequests interruptedRequests;
    private final Consumer<TargetSighting> onEnded;
    private final Map<String, Probe> running = new HashMap<>();

    /**
     * Returns a probe, not null.
     *
     * @param checks what checks of incarnations need, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     * @param interruptedRequests learns which targets live, not null
     * @param onEnded runs whenever a target is found to have ended, not null
     */
    static CrashProbe of(
            IncarnationCheck.Dependencies checks,
            DecisionLog log,
            ServingMetrics metrics,
            InterruptedRequests interruptedRequests,
            Consumer<TargetSighting> onEnded) {
        return new CrashProbe(checks, log, metrics, interruptedRequests, onEnded);
    }

    private CrashProbe(
            IncarnationCheck.Dependencies checks,
            DecisionLog log,
            ServingMetrics metrics,
            InterruptedRequests interruptedRequests,
            Consumer<TargetSighting> onEnded) {
        this.checks = checks;
        this.log = log;
        this.metrics = metrics;
        this.interruptedRequests = interruptedRequests;
        this.onEnded = onEnded;
    }

    /**
     * Checks a target after an interruption was recorded, twice if it answers; one check of a target runs at a time.
     *
     * @param target the target, not null
     * @param healthPath the health path of its service, null if the target must not be asked
     * @return a promise that completes once the target has accepted or refused a connection, not null
     */
    Promise<Void> probe(TargetSighting target, String healthPath) {
        Probe probe = running.get(target.id());
        return (probe == null ? start(target, healthPath, false) : probe).check.contact();
    }

    private Probe start(TargetSighting target, String healthPath, boolean second) {
        Probe probe = new Probe(target, healthPath, second);
        running.put(target.id(), probe);
        probe.check.contact().whenResult(probe::onContact);
        probe.check.result().whenResult(probe::onResult);
        return probe;
    }

    /** A check of a target that is running. */
    private final class Probe {
        private final TargetSighting target;
        private final String healthPath;
        private final boolean second;
        private final IncarnationCheck check;
        private final long startMillis;
        private int interruptionsAtContact;

        Probe(TargetSighting target, String healthPath, boolean second) {
            this.target = target;
            this.healthPath = healthPath;
            this.second = second;
            this.startMillis = checks.clock().millis();
            this.check = IncarnationCheck.start(checks, target, healthPath, CHECK_TIMEOUT_MILLIS);
        }

        /** Runs before the health request is sent; its answer shows nothing of a later interruption. */
        private void onContact() {
            interruptionsAtContact = interruptedRequests.interruptionCount(target.id());
        }

        private void onResult(Result result) {
            metrics.incarnationChecked(result.outcome().label());
            log.line(DecisionKind.CHECKED)
                    .with(DecisionField.TARGET, target.id())
                    .with(DecisionField.CHECK, result.outcome().label())
                    .with(DecisionField.ANSWERED_BY, result.sender().orElse(""))
                    .with(DecisionField.CHECKS, result.requests())
                    .with(DecisionField.TOOK_MS, checks.clock().millis() - startMillis)
                    .write();
            if (result.outcome().showsLife() && !second) {
                checks.reactor().delayBackground(SECOND_CHECK_DELAY_MILLIS, () -> start(target, healthPath, true));
                return;
            }
            running.remove(target.id());
            if (result.outcome().showsEnd()) {
                onEnded.accept(target);
            } else if (result.outcome().showsLife()
                    && !interruptedRequests.markAlive(target.id(), interruptionsAtContact)) {
                start(target, healthPath, false);
            }
        }
    }
}

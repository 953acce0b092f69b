package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bankturn.crash.SentRequests;
import org.bankturn.daemon.gateway.IncarnationCheck.Result;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.registry.TargetSighting;

/**
 * Checks targets that may have crashed: one has crashed if its address refuses connections or another incarnation answers
 * there, and lives if it answers itself.
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
    private final SentRequests sentRequests;
    private final Consumer<TargetSighting> onEnded;
    private final Map<String, Probe> running = new HashMap<>();

    /**
     * Returns a probe, not null.
     *
     * @param checks what checks of incarnations need, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     * @param sentRequests learns which targets live, not null
     * @param onEnded runs whenever a target is found to have ended, not null
     */
    static CrashProbe of(
            IncarnationCheck.Dependencies checks,
            DecisionLog log,
            ServingMetrics metrics,
            SentRequests sentRequests,
            Consumer<TargetSighting> onEnded) {
        return new CrashProbe(checks, log, metrics, sentRequests, onEnded);
    }

    private CrashProbe(
            IncarnationCheck.Dependencies checks,
            DecisionLog log,
            ServingMetrics metrics,
            SentRequests sentRequests,
            Consumer<TargetSighting> onEnded) {
        this.checks = checks;
        this.log = log;
        this.metrics = metrics;
        this.sentRequests = sentRequests;
        this.onEnded = onEnded;
    }

    /**
     * Checks a target, twice if it answers although a connection to it was lost a moment ago; one check of a target runs at
     * a time.
     *
     * @param target the target, not null
     * @param healthPath the health path of its service, null if the target must not be asked
     * @return the check, not null
     */
    Probe probe(TargetSighting target, String healthPath) {
        Probe probe = running.get(target.id());
        return probe == null ? start(target, healthPath) : probe;
    }

    private Probe start(TargetSighting target, String healthPath) {
        long recent = checks.clock().millis() - SECOND_CHECK_DELAY_MILLIS;
        boolean mayBeCrashing = sentRequests.isQuestionableSince(target.id(), recent);
        Probe probe = new Probe(target, healthPath, mayBeCrashing ? Repetition.ONCE_MORE : Repetition.NONE);
        running.put(target.id(), probe);
        probe.ask();
        return probe;
    }

    /** Whether a target that answers is asked again. */
    private enum Repetition {
        ONCE_MORE,
        NONE
    }

    /** A check of a target that is running. */
    final class Probe {
        private final TargetSighting target;
        private final String healthPath;
        private final SettablePromise<Void> verdict = new SettablePromise<>();
        private Repetition repetition;
        private IncarnationCheck check;
        private long startMillis;
        private long askedMillis;

        private Probe(TargetSighting target, String healthPath, Repetition repetition) {
            this.target = target;
            this.healthPath = healthPath;
            this.repetition = repetition;
        }

        /** Returns a promise that completes once the target has accepted or refused a connection, not null. */
        Promise<Void> contact() {
            return check.contact();
        }

        /** Returns a promise that completes once the check is over, whatever it has shown, not null. */
        Promise<Void> verdict() {
            return verdict;
        }

        private void ask() {
            startMillis = checks.clock().millis();
            askedMillis = startMillis;
            check = IncarnationCheck.start(checks, target, healthPath, CHECK_TIMEOUT_MILLIS);
            check.contact().whenResult(this::onContact);
            check.result().whenResult(this::onResult);
        }

        /** Runs before the health request is sent; its answer shows nothing of a later interruption. */
        private void onContact() {
            askedMillis = checks.clock().millis();
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
            boolean alive = result.outcome().showsLife();
            if (alive && repetition == Repetition.ONCE_MORE) {
                repetition = Repetition.NONE;
                checks.reactor().delayBackground(SECOND_CHECK_DELAY_MILLIS, this::ask);
                return;
            }
            if (alive && sentRequests.isQuestionableSince(target.id(), askedMillis)) {
                repetition = Repetition.ONCE_MORE;
                ask();
                return;
            }
            running.remove(target.id());
            if (alive) {
                sentRequests.recordAnswer(target.id(), askedMillis);
            } else if (result.outcome().showsEnd()) {
                onEnded.accept(target);
            }
            verdict.set(null);
        }
    }
}

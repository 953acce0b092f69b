package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bankturn.crash.CompletionVerdict;
import org.bankturn.crash.InterruptedRequest;
import org.bankturn.crash.PartCrash;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.RunEnd;
import org.bankturn.crash.SentRequest;
import org.bankturn.crash.SentRequests;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.registry.TargetSighting;

/**
 * Follows every request that was sent to a target until the target has outlived it, or is known to have crashed.
 *
 * <p>That a target has ended is learnt from connections that it refuses, from checks of its incarnation, from its successor
 * and from other gateways. Where no sign of life follows the end of an attempt, the target is checked.
 *
 * <p>RunMonitor is confined to its reactor's thread.
 */
final class RunMonitor {
    /** Exceeds the number of targets that end while connections to them are still attempted. */
    private static final int MAX_LOGGED_ENDS = 512;

    private final IncarnationCheck.Dependencies checks;
    private final DepartureMonitor departures;
    private final Function<TargetSighting, String> healthPaths;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final BiConsumer<String, List<InterruptedRequest>> onCrash;
    private final SentRequests sentRequests;
    private final CrashProbe probe;
    private final Set<String> loggedEnds = new LinkedHashSet<>();
    private PublishedState published = PublishedState.EMPTY;

    /**
     * Returns a monitor of no request, not null.
     *
     * @param checks what checks of incarnations need, not null
     * @param departures the planned ends of targets, not null
     * @param healthPaths returns the health path of a target's service, null if the target must not be asked, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     * @param onCrash receives each crashed target with the requests that it may have crashed of, not null
     */
    static RunMonitor of(
            IncarnationCheck.Dependencies checks,
            DepartureMonitor departures,
            Function<TargetSighting, String> healthPaths,
            DecisionLog log,
            ServingMetrics metrics,
            BiConsumer<String, List<InterruptedRequest>> onCrash) {
        return new RunMonitor(checks, departures, healthPaths, log, metrics, onCrash);
    }

    private RunMonitor(
            IncarnationCheck.Dependencies checks,
            DepartureMonitor departures,
            Function<TargetSighting, String> healthPaths,
            DecisionLog log,
            ServingMetrics metrics,
            BiConsumer<String, List<InterruptedRequest>> onCrash) {
        this.checks = checks;
        this.departures = departures;
        this.healthPaths = healthPaths;
        this.log = log;
        this.metrics = metrics;
        this.onCrash = onCrash;
        this.sentRequests = SentRequests.of(checks.clock());
        this.probe =
                CrashProbe.of(checks, log, metrics, sentRequests, target -> onTargetEnded(target, EndEvidence.CHECKED));
    }

    // ---- queries

    /** Returns true if some target may have crashed of a request without this being known yet. */
    boolean isAnyUndecided() {
        return sentRequests.isAnyUndecided();
    }

    /** Returns the targets that a request may have crashed without this being known yet, not null. */
    List<TargetSighting> findUndecided(RequestFingerprint request) {
        return sentRequests.findUndecided(request);
    }

    /** Returns the targets that requests with a prompt part may have crashed without this being known yet, not null. */
    List<TargetSighting> findUndecided(String promptPart) {
        return sentRequests.findUndecided(promptPart);
    }

    // ---- events of attempts

    /**
     * Handles a request that is about to be sent to a target.
     *
     * @param target the target, not null
     * @param details returns what a crash of the target would interrupt, not null
     * @param remainingMillis the time for which the target may run the request
     * @return the request, not null
     */
    SentRequest onSent(TargetSighting target, Supplier<InterruptedRequest> details, long remainingMillis) {
        return sentRequests.recordSent(target, details, checks.clock().millis() + remainingMillis);
    }

    /** Handles data of a target, on a connection that was opened at a time. */
    void onData(SentRequest sent, long connectionOpenedMillis) {
        sentRequests.recordData(sent, connectionOpenedMillis);
    }

    /** Handles a target that sends nothing for longer than it should; its attempt may go on. */
    void onSilence(SentRequest sent) {
        sentRequests.recordSilence(sent);
        check(sent.target());
    }

    /**
     * Handles the end of an attempt.
     *
     * @param sent its request, not null
     * @param end what the end tells about the run of the request, not null
     * @return a promise of true if the request completed and its target has not crashed of it, not null
     */
    Promise<Boolean> onEnded(SentRequest sent, RunEnd end) {
        sentRequests.recordEnd(sent, end);
        return switch (end) {
            case COMPLETED -> awaitOutlived(sent);
            case FAILED, UNKNOWN -> {
                checks.reactor().delayBackground(SentRequests.FRESH_MILLIS, () -> checkUnlessAlive(sent));
                yield Promise.of(false);
            }
            case NOT_RUN -> Promise.of(false);
        };
    }

    private void checkUnlessAlive(SentRequest sent) {
        if (!sentRequests.hasCrashed(sent.target().id()) && !sentRequests.isAliveSince(sent)) {
            check(sent.target());
        }
    }

    private Promise<Boolean> awaitOutlived(SentRequest completed) {
        SettablePromise<Boolean> outlived = new SettablePromise<>();
        checks.reactor().delayBackground(SentRequests.TAIL_MILLIS, () -> {
            if (sentRequests.judge(completed) == CompletionVerdict.UNDECIDED) {
                check(completed.target()).whenResult(() -> conclude(completed, outlived));
            } else {
                conclude(completed, outlived);
            }
        });
        return outlived;
    }

    private void conclude(SentRequest completed, SettablePromise<Boolean> outlived) {
        CompletionVerdict verdict = sentRequests.judge(completed);
        if (verdict == CompletionVerdict.UNDECIDED) {
            sentRequests.recordEnd(completed, RunEnd.FAILED);
        } else {
            sentRequests.forget(completed);
        }
        outlived.set(verdict == CompletionVerdict.HARMLESS);
    }

    /** Handles a request that is known to be harmless. */
    void onHarmless(RequestFingerprint request) {
        sentRequests.recordCompletion(request);
    }

    /**
     * Handles a connection lost while a target ran a request, after the end of the attempt.
     *
     * @return a promise that completes once it is known, or cannot be known soon, whether a process listens at the target's
     *     address, not null
     */
    Promise<Void> onConnectionLost(TargetSighting target) {
        return sentRequests.hasCrashed(target.id())
                ? Promise.complete()
                : probe.probe(target, healthPaths.apply(target)).contact();
    }

    /**
     * Checks targets that may have crashed.
     *
     * @return a promise that completes once all checks are over, or cannot be awaited any longer, not null
     */
    Promise<Void> check(Collection<TargetSighting> targets) {
        List<Promise<Void>> verdicts = targets.stream().map(this::check).toList();
        SettablePromise<Void> done = new SettablePromise<>();
        Promises.all(verdicts).whenResult(() -> done.trySet(null));
        checks.reactor().delayBackground(CrashProbe.DECISION_MILLIS, () -> done.trySet(null));
        return done;
    }

    private Promise<Void> check(TargetSighting target) {
        return probe.probe(target, healthPaths.apply(target)).verdict();
    }

    // ---- ends of targets

    /** Handles the outcome of connecting to a target; a refused connection means that it has ended. */
    void onConnectResult(TargetSighting target, Exception failure) {
        if (IncarnationCheck.isRefused(failure)) {
            onTargetEnded(target, EndEvidence.REFUSED);
        }
    }

    /** Handles a connection that its target closed while no response was due on it. */
    void onIdleConnectionClosed(String target) {
        sentRequests.recordIdleClose(target);
    }

    /** Applies the published targets, and the crashes that other gateways have reported. */
    void update(PublishedState newer) {
        boolean sameReports =
                newer.suspects() == published.suspects() && newer.suspectParts() == published.suspectParts();
        published = newer;
        sentRequests.findReplaced(newer.targets()).forEach(target -> onTargetEnded(target, EndEvidence.REPLACED));
        if (!sameReports) {
            sentRequests
                    .findAmong(reportedCrashes(newer))
                    .forEach(target -> onTargetEnded(target, EndEvidence.REPORTED));
        }
    }

    private static Set<String> reportedCrashes(PublishedState newer) {
        Stream<String> ofRequests = newer.suspects().stream().flatMap(each -> each.endedTargets().stream());
        Stream<String> ofParts = newer.suspectParts().stream()
                .flatMap(each -> each.crashes().stream())
                .map(PartCrash::target);
        return Stream.concat(ofRequests, ofParts).collect(Collectors.toSet());
    }

    /** Takes the end of a target for a crash, unless the target has itself removed as it does before a planned end. */
    private void onTargetEnded(TargetSighting target, EndEvidence evidence) {
        if (departures.hasLeft(target.id())) {
            sentRequests.recordDeparture(target.id());
        } else if (isLeaving(target)) {
            departures.awaitDeparture(target.id(), 0).whenResult(departed -> {
                if (departed) {
                    sentRequests.recordDeparture(target.id());
                } else {
                    recordCrash(target.id(), evidence);
                }
            });
        } else {
            recordCrash(target.id(), evidence);
        }
    }

    private boolean isLeaving(TargetSighting target) {
        Map<String, TargetSighting> targets = published.targets();
        return targets.getOrDefault(target.id(), target).draining();
    }

    private void recordCrash(String target, EndEvidence evidence) {
        List<InterruptedRequest> requests = sentRequests.recordCrash(target);
        logEnd(target, evidence, requests.size());
        if (!requests.isEmpty()) {
            onCrash.accept(target, requests);
        }
    }

    /** Logs the end of a target, once, with the number of requests that it counts against. */
    private void logEnd(String target, EndEvidence evidence, int requests) {
        boolean known = !loggedEnds.add(target);
        if (known && requests == 0) {
            return;
        }
        if (loggedEnds.size() > MAX_LOGGED_ENDS) {
            loggedEnds.remove(loggedEnds.iterator().next());
        }
        metrics.targetEnded(evidence.label());
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, "end of a target found")
                .with(DecisionField.TARGET, target)
                .with(DecisionField.EVIDENCE, evidence.label())
                .with(DecisionField.REQUESTS, requests)
                .write();
    }
}

package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.InterruptedPart;
import org.bankturn.crash.InterruptedRequest;
import org.bankturn.crash.InterruptedRequests;
import org.bankturn.crash.KnownSuspects;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * Detects targets that crash while running a request and reports them to the control group, so that all gateways stop
 * requests that crash their targets.
 *
 * <p>After a lost connection the target is checked. Completed requests are reported as well, which clears them of suspicion.
 * CrashDetector is confined to its reactor's thread.
 */
final class CrashDetector {
    /** Observations made within this time are sent together; the requests of a crashed target break off within 8 ms. */
    private static final long REPORT_DELAY_MILLIS = 10;

    /** Exceeds the number of targets that end while connections to them are still attempted. */
    private static final int MAX_KNOWN_ENDED = 512;

    private final String process;
    private final Eventloop reactor;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final CrashProbe probe;
    private final Consumer<PublicationCommand> controlGroup;
    private final Runnable onCondemned;
    private final InterruptedRequests interruptedRequests;
    private final TrialRequester<RequestFingerprint> trialRequester;
    private final PromptPartGuard promptParts;
    private final KnownSuspects suspects = KnownSuspects.empty();
    private final Set<RequestFingerprint> condemned = new HashSet<>();
    private final Map<String, Map<RequestFingerprint, InterruptedRequest>> unreportedCrashes = new LinkedHashMap<>();
    private final Set<RequestFingerprint> unreportedCompletions = new LinkedHashSet<>();
    private final Set<String> knownEnded = new LinkedHashSet<>();
    private List<Suspect> lastPublished = List.of();
    private boolean reportScheduled;

    /**
     * Returns a detector without observations, not null.
     *
     * @param process the name of this gateway, not null
     * @param reactor the event loop, not null
     * @param clock the clock, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     * @param checks what checks of incarnations need, not null
     * @param controlGroup receives commands for the control group, not null
     * @param onCondemned runs when further requests are condemned, not null
     */
    static CrashDetector of(
            String process,
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics,
            IncarnationCheck.Dependencies checks,
            Consumer<PublicationCommand> controlGroup,
            Runnable onCondemned) {
        return new CrashDetector(process, reactor, clock, log, metrics, checks, controlGroup, onCondemned);
    }

    private CrashDetector(
            String process,
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics,
            IncarnationCheck.Dependencies checks,
            Consumer<PublicationCommand> controlGroup,
            Runnable onCondemned) {
        this.process = process;
        this.reactor = reactor;
        this.log = log;
        this.metrics = metrics;
        this.interruptedRequests = InterruptedRequests.of(clock);
        this.probe = CrashProbe.of(
                checks, log, metrics, interruptedRequests, target -> onTargetEnded(target.id(), EndEvidence.CHECKED));
        this.controlGroup = controlGroup;
        this.onCondemned = onCondemned;
        this.trialRequester = TrialRequester.of(
                reactor,
                clock,
                log,
                DecisionField.FINGERPRINT,
                suspects::findPublished,
                (request, number, requester) ->
                        controlGroup.accept(new PublicationCommand.TakeTrial(request, number, requester)));
        this.promptParts = PromptPartGuard.of(reactor, clock, log, metrics, controlGroup);
    }

    // ---- queries

    /** Returns true if the request must not be sent to any target. */
    boolean isCondemned(ForwardedRequest request) {
        return !request.isTrial()
                && (isRepetitionCondemned(request) || !condemnedParts(request).isEmpty());
    }

    private boolean isRepetitionCondemned(ForwardedRequest request) {
        return !condemned.isEmpty() && condemned.contains(request.fingerprint());
    }

    private List<String> condemnedParts(ForwardedRequest request) {
        return promptParts.findCondemned(request.metadata().promptParts());
    }

    /** Returns why a condemned request is not sent, not null. */
    String condemnedReason(ForwardedRequest request) {
        List<String> parts = condemnedParts(request);
        if (parts.isEmpty()) {
            return endedTargetCount(request) + " targets ended under request " + request.fingerprint();
        }
        String part = parts.get(0);
        return promptParts.endedTargetCount(part) + " or more targets ended under prompt part " + part;
    }

    private int endedTargetCount(ForwardedRequest request) {
        return suspects.endedTargetsOf(request.fingerprint()).size();
    }

    /**
     * Requests a trial of a condemned request, if one is due. A request that is condemned for more than one reason could
     * not tell which of them is wrong, and has none.
     *
     * @return a promise of true if the request may be sent, false if it must be refused, not null
     */
    Promise<Boolean> requestTrial(ForwardedRequest request) {
        List<String> parts = condemnedParts(request);
        if (parts.isEmpty()) {
            return trialRequester.requestTrial(request.fingerprint(), trialName(request));
        }
        if (parts.size() > 1 || isRepetitionCondemned(request)) {
            return Promise.of(false);
        }
        return promptParts.requestTrial(parts.get(0), trialName(request));
    }

    private String trialName(ForwardedRequest request) {
        return process + "/" + request.metadata().id();
    }

    // ---- events

    /** Applies the published suspects and targets. */
    void update(PublishedState published) {
        interruptedRequests
                .findReplaced(published.targets().values())
                .forEach(target -> onTargetEnded(target, EndEvidence.REPLACED));
        // most publications change targets only, and processing many suspects is expensive
        if (!Objects.equals(published.suspects(), lastPublished)) {
            lastPublished = published.suspects();
            suspects.published(published.suspects());
            refreshCondemned();
        }
        if (promptParts.update(published.suspectParts())) {
            onCondemned.run();
        }
    }

    /** Gives a granted trial back, whose request was sent to no target. */
    void returnTrial(ForwardedRequest request) {
        condemnedParts(request).forEach(part -> promptParts.returnTrial(part, trialName(request)));
    }

    private void refreshCondemned() {
        Set<RequestFingerprint> newlyCondemned = suspects.condemned();
        metrics.setBlockedRequests(newlyCondemned.size());
        Set<RequestFingerprint> previous = Set.copyOf(condemned);
        condemned.clear();
        condemned.addAll(newlyCondemned);
        trialRequester.update(condemned);
        newlyCondemned.removeAll(previous);
        for (RequestFingerprint request : newlyCondemned) {
            log.line(DecisionKind.SUSPECT)
                    .with(DecisionField.EVENT, "sent to no target any more")
                    .with(DecisionField.FINGERPRINT, request)
                    .with(DecisionField.ENDS, suspects.endedTargetsOf(request).size())
                    .write();
        }
        if (!newlyCondemned.isEmpty()) {
            onCondemned.run();
        }
    }

    /**
     * Handles a connection lost while a target ran a request.
     *
     * @param target the target, not null
     * @param request the request, not null
     * @param interrupted what a crash would have interrupted, not null
     * @param mayAsk false if the target has asked for fewer requests, or for none
     * @return a promise that completes once it is known, or cannot be known soon, whether the target has crashed, not
     *     null
     */
    Promise<Void> onConnectionLost(
            TargetSighting target, ForwardedRequest request, InterruptedRequest interrupted, boolean mayAsk) {
        if (target.draining()) {
            // a connection closed by a planned shutdown is not held against the request
            return Promise.complete();
        }
        interruptedRequests.recordInterruption(target, interrupted);
        if (interruptedRequests.hasCrashed(target.id())) {
            onTargetEnded(target.id(), EndEvidence.KNOWN);
            return Promise.complete();
        }
        return probe.probe(target, mayAsk ? request.service().healthPath() : null)
                .then(() -> awaitCertainty(request));
    }

    /** Delays a request that one more crash would condemn until the undecided probes have finished. */
    private Promise<Void> awaitCertainty(ForwardedRequest request) {
        boolean certain =
                isCondemned(request) || !(couldRepetitionBeCondemned(request) || couldPartBeCondemned(request));
        return certain ? Promise.complete() : Promises.delay(CrashProbe.DECISION_MILLIS);
    }

    private boolean couldRepetitionBeCondemned(ForwardedRequest request) {
        Set<String> possiblyCrashed = suspects.endedTargetsOf(request.fingerprint());
        possiblyCrashed.addAll(interruptedRequests.findUndecided(request.fingerprint()));
        return possiblyCrashed.size() >= Suspect.CONDEMNATION_THRESHOLD;
    }

    private boolean couldPartBeCondemned(ForwardedRequest request) {
        return request.metadata().promptParts().shared().stream()
                .anyMatch(part -> promptParts.couldBeCondemned(part, interruptedRequests.findUndecided(part)));
    }

    /** Evaluates the outcome of connecting to a target; a refused connection means that it has crashed. */
    void onConnectResult(TargetSighting target, Exception failure) {
        if (IncarnationCheck.isRefused(failure)) {
            onTargetEnded(target.id(), EndEvidence.REFUSED);
        }
    }

    private void onTargetEnded(String target, EndEvidence evidence) {
        List<InterruptedRequest> requests = interruptedRequests.recordCrash(target);
        logEnd(target, evidence, requests.size());
        if (requests.isEmpty()) {
            return;
        }
        requests.forEach(request -> blame(target, request));
        unreportedCrashes.computeIfAbsent(target, key -> new LinkedHashMap<>()).putAll(byFingerprint(requests));
        scheduleReport();
        boolean partCondemned = promptParts.targetEnded(target, InterruptedRequest.partsOf(requests));
        refreshCondemned();
        if (partCondemned) {
            onCondemned.run();
        }
    }

    /** Logs the end of a target, once, with the number of requests that it counts against. */
    private void logEnd(String target, EndEvidence evidence, int requests) {
        boolean known = !knownEnded.add(target);
        if (known && requests == 0) {
            return;
        }
        if (knownEnded.size() > MAX_KNOWN_ENDED) {
            knownEnded.remove(knownEnded.iterator().next());
        }
        metrics.targetEnded(evidence.label());
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, "end of a target found")
                .with(DecisionField.TARGET, target)
                .with(DecisionField.EVIDENCE, evidence.label())
                .with(DecisionField.REQUESTS, requests)
                .write();
    }

    private void blame(String target, InterruptedRequest request) {
        suspects.recordCrash(target, request.fingerprint());
        metrics.suspectEvent(ServingMetrics.SUSPECT_BLAMED);
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, "target ended")
                .with(DecisionField.TARGET, target)
                .with(DecisionField.FINGERPRINT, request.fingerprint())
                .with(
                        DecisionField.ENDS,
                        suspects.endedTargetsOf(request.fingerprint()).size())
                .write();
    }

    private static Map<RequestFingerprint, InterruptedRequest> byFingerprint(List<InterruptedRequest> requests) {
        return requests.stream()
                .collect(Collectors.toMap(
                        InterruptedRequest::fingerprint, each -> each, (one, other) -> other, LinkedHashMap::new));
    }

    /** Records that a request ran to its end, which clears it and the parts of its prompt of suspicion. */
    void onCompleted(ForwardedRequest request, Attempt completed) {
        promptParts.onCompleted(
                request.metadata().promptParts(),
                completed.weightsVersion(),
                completed.knownIndex(),
                completed.sentMillis());
        if (suspects.isEmpty() && interruptedRequests.isEmpty()) {
            return;
        }
        RequestFingerprint fingerprint = request.fingerprint();
        interruptedRequests.recordCompletion(List.of(fingerprint));
        if (endedTargetCount(request) == 0) {
            return;
        }
        suspects.recordCompletion(fingerprint);
        refreshCondemned();
        metrics.suspectEvent(ServingMetrics.SUSPECT_CLEARED);
        unreportedCompletions.add(fingerprint);
        scheduleReport();
    }

    private void scheduleReport() {
        if (!reportScheduled) {
            reportScheduled = true;
            reactor.delayBackground(REPORT_DELAY_MILLIS, this::report);
        }
    }

    private void report() {
        reportScheduled = false;
        List<EndedTarget> ended = unreportedCrashes.entrySet().stream()
                .map(each -> EndedTarget.of(each.getKey(), each.getValue().values()))
                .toList();
        List<InterruptedPart> parts =
                ended.stream().flatMap(each -> each.parts().stream()).toList();
        controlGroup.accept(new PublicationCommand.RecordOutcomes(
                ended, List.copyOf(unreportedCompletions), promptParts.completionsOf(parts)));
        unreportedCrashes.clear();
        unreportedCompletions.clear();
    }
}

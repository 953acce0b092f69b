package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.InterruptedPart;
import org.bankturn.crash.InterruptedRequest;
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

/**
 * Detects targets that crash while running a request and reports them to the control group, so that all gateways stop
 * requests that crash their targets.
 *
 * <p>Completed requests are reported as well, which clears them of suspicion.
 * CrashDetector is confined to its reactor's thread.
 */
final class CrashDetector {
    /** Observations made within this time are sent together; the requests of a crashed target break off within 8 ms. */
    private static final long REPORT_DELAY_MILLIS = 10;

    private final String process;
    private final Eventloop reactor;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final RunMonitor runs;
    private final Consumer<PublicationCommand> controlGroup;
    private final Runnable onCondemned;
    private final TrialRequester<RequestFingerprint> trialRequester;
    private final PromptPartGuard promptParts;
    private final KnownSuspects suspects = KnownSuspects.empty();
    private final Set<RequestFingerprint> condemned = new HashSet<>();
    private final Map<String, Map<RequestFingerprint, InterruptedRequest>> unreportedCrashes = new LinkedHashMap<>();
    private final Set<RequestFingerprint> unreportedCompletions = new LinkedHashSet<>();
    private List<Suspect> lastPublished = List.of();
    private boolean reportScheduled;

    /**
     * Returns a detector without observations, not null.
     *
     * @param process the name of this gateway, not null
     * @param checks what checks of incarnations need, not null
     * @param departures the planned ends of targets, not null
     * @param healthPaths returns the health path of a target's service, null if the target must not be asked, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     * @param controlGroup receives commands for the control group, not null
     * @param onCondemned runs when further requests are condemned, not null
     */
    static CrashDetector of(
            String process,
            IncarnationCheck.Dependencies checks,
            DepartureMonitor departures,
            Function<TargetSighting, String> healthPaths,
            DecisionLog log,
            ServingMetrics metrics,
            Consumer<PublicationCommand> controlGroup,
            Runnable onCondemned) {
        return new CrashDetector(process, checks, departures, healthPaths, log, metrics, controlGroup, onCondemned);
    }

    private CrashDetector(
            String process,
            IncarnationCheck.Dependencies checks,
            DepartureMonitor departures,
            Function<TargetSighting, String> healthPaths,
            DecisionLog log,
            ServingMetrics metrics,
            Consumer<PublicationCommand> controlGroup,
            Runnable onCondemned) {
        this.process = process;
        this.reactor = checks.reactor();
        this.log = log;
        this.metrics = metrics;
        this.runs = RunMonitor.of(checks, departures, healthPaths, log, metrics, this::onCrash);
        this.controlGroup = controlGroup;
        this.onCondemned = onCondemned;
        this.trialRequester = TrialRequester.of(
                reactor,
                checks.clock(),
                log,
                DecisionField.FINGERPRINT,
                suspects::findPublished,
                (request, number, requester) ->
                        controlGroup.accept(new PublicationCommand.TakeTrial(request, number, requester)));
        this.promptParts = PromptPartGuard.of(reactor, checks.clock(), log, metrics, controlGroup);
    }

    // ---- queries

    /** Returns what follows the requests that were sent to targets, not null. */
    RunMonitor runs() {
        return runs;
    }

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
        runs.update(published);
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
     * Checks the targets that a request may have crashed, if one more crash would condemn it.
     *
     * @param request the request, which is about to be sent to a further target, not null
     * @return a promise that completes once it is known, or cannot be known soon, whether the request is condemned; empty if
     *     nothing has to be awaited, not null
     */
    Optional<Promise<Void>> awaitCertainty(ForwardedRequest request) {
        if (request.isTrial() || !runs.isAnyUndecided()) {
            return Optional.empty();
        }
        Set<TargetSighting> undecided = new LinkedHashSet<>();
        List<TargetSighting> ofRequest = runs.findUndecided(request.fingerprint());
        if (couldRepetitionBeCondemned(request, ofRequest)) {
            undecided.addAll(ofRequest);
        }
        for (String part : request.metadata().promptParts().shared()) {
            List<TargetSighting> ofPart = runs.findUndecided(part);
            if (promptParts.couldBeCondemned(part, ids(ofPart))) {
                undecided.addAll(ofPart);
            }
        }
        if (undecided.isEmpty()) {
            return Optional.empty();
        }
        metrics.suspectEvent(ServingMetrics.SUSPECT_HELD);
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, "held until targets are checked")
                .with(DecisionField.REQUEST, request.metadata().id())
                .with(DecisionField.FINGERPRINT, request.fingerprint())
                .with(DecisionField.TARGETS, undecided.size())
                .write();
        return Optional.of(runs.check(undecided));
    }

    private boolean couldRepetitionBeCondemned(ForwardedRequest request, List<TargetSighting> undecided) {
        Set<String> possiblyCrashed = suspects.endedTargetsOf(request.fingerprint());
        possiblyCrashed.addAll(ids(undecided));
        return !undecided.isEmpty() && possiblyCrashed.size() >= Suspect.CONDEMNATION_THRESHOLD;
    }

    private static List<String> ids(List<TargetSighting> targets) {
        return targets.stream().map(TargetSighting::id).toList();
    }

    private void onCrash(String target, List<InterruptedRequest> requests) {
        requests.forEach(request -> blame(target, request));
        unreportedCrashes.computeIfAbsent(target, key -> new LinkedHashMap<>()).putAll(byFingerprint(requests));
        scheduleReport();
        boolean partCondemned = promptParts.targetEnded(target, InterruptedRequest.partsOf(requests));
        refreshCondemned();
        if (partCondemned) {
            onCondemned.run();
        }
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

    /** Clears a request, and the parts of its prompt, of suspicion once its target has outlived the complete response. */
    void onCompleted(ForwardedRequest request, Attempt completed) {
        completed.outlived().whenResult(outlived -> {
            if (outlived) {
                clear(request, completed);
            }
        });
    }

    private void clear(ForwardedRequest request, Attempt completed) {
        promptParts.onCompleted(
                request.metadata().promptParts(),
                completed.weightsVersion(),
                completed.knownIndex(),
                completed.sentMillis());
        if (suspects.isEmpty() && !runs.isAnyUndecided()) {
            return;
        }
        RequestFingerprint fingerprint = request.fingerprint();
        runs.onHarmless(fingerprint);
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

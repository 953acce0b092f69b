package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.bankturn.crash.CompletedPart;
import org.bankturn.crash.InterruptedPart;
import org.bankturn.crash.KnownSuspectParts;
import org.bankturn.crash.SuspectPart;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.time.Clock;

/**
 * Decides which requests are stopped because a part of their prompt crashes targets, whatever else they hold.
 *
 * <p>It tells the control group which suspect parts it has seen run to their end. PromptPartGuard is confined to its
 * reactor's thread.
 */
final class PromptPartGuard {
    /** Reports of gateways are spread over this time, so that most find that another gateway has reported the same. */
    private static final int MAX_REPORT_DELAY_MILLIS = 200;

    private final Eventloop reactor;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final Consumer<PublicationCommand> controlGroup;
    private final KnownSuspectParts suspects;
    private final TrialRequester<String> trialRequester;
    private Set<String> condemned = Set.of();
    private List<SuspectPart> lastPublished = List.of();
    private boolean reportScheduled;

    /**
     * Returns a guard without suspects, not null.
     *
     * @param reactor the event loop, not null
     * @param clock the clock, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     * @param controlGroup receives commands for the control group, not null
     */
    static PromptPartGuard of(
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics,
            Consumer<PublicationCommand> controlGroup) {
        return new PromptPartGuard(reactor, clock, log, metrics, controlGroup);
    }

    private PromptPartGuard(
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics,
            Consumer<PublicationCommand> controlGroup) {
        this.reactor = reactor;
        this.log = log;
        this.metrics = metrics;
        this.controlGroup = controlGroup;
        this.suspects = KnownSuspectParts.empty(clock);
        this.trialRequester = TrialRequester.of(
                reactor,
                clock,
                log,
                DecisionField.PROMPT_PART,
                suspects::findPublished,
                (part, number, requester) ->
                        controlGroup.accept(new PublicationCommand.TakePartTrial(part, number, requester)));
    }

    // ---- queries

    /** Returns true if no crash counts against any part. */
    boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns the condemned parts of a prompt, not null. */
    List<String> findCondemned(PromptParts prompt) {
        if (condemned.isEmpty()) {
            return List.of();
        }
        return prompt.shared().stream().filter(condemned::contains).toList();
    }

    /** Returns true if the crashes of further targets could condemn a part. */
    boolean couldBeCondemned(String part, Collection<String> furtherTargets) {
        return suspects.couldBeCondemned(part, furtherTargets);
    }

    /** Returns the number of targets that crashed during requests with a part. */
    int endedTargetCount(String part) {
        return suspects.endedTargetsOf(part).size();
    }

    /** Returns which of the parts of a crashed target's requests are known to have run to their end, not null. */
    List<CompletedPart> completionsOf(Collection<InterruptedPart> parts) {
        return suspects.completionsOf(parts);
    }

    /**
     * Requests a trial of a condemned part, if one is due.
     *
     * @param part the part, not null
     * @param requester a name that identifies the trial across gateways, not null
     * @return a promise of true if one request with the part may be sent to one target, not null
     */
    Promise<Boolean> requestTrial(String part, String requester) {
        return trialRequester.requestTrial(part, requester);
    }

    // ---- events

    /** Returns a granted trial, whose request was sent to no target. */
    void returnTrial(String part, String requester) {
        controlGroup.accept(new PublicationCommand.ReturnPartTrial(part, requester));
    }

    /** Applies the published parts; returns true if further parts are condemned now. */
    boolean update(List<SuspectPart> published) {
        boolean unchanged = Objects.equals(published, lastPublished);
        if (unchanged && !suspects.hasObservations()) {
            return false;
        }
        lastPublished = published;
        suspects.published(published);
        scheduleCompletionReport();
        return refreshCondemned();
    }

    /** Handles the crash of a target; returns true if further parts are condemned now. */
    boolean targetEnded(String target, Collection<InterruptedPart> parts) {
        if (parts.isEmpty()) {
            return false;
        }
        suspects.recordCrash(target, parts);
        metrics.suspectEvent(ServingMetrics.PART_BLAMED);
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, "target ended")
                .with(DecisionField.TARGET, target)
                .with(DecisionField.PROMPT_PARTS, join(parts))
                .write();
        return refreshCondemned();
    }

    private static String join(Collection<InterruptedPart> parts) {
        return parts.stream().map(InterruptedPart::part).collect(Collectors.joining(","));
    }

    /**
     * Records that a request ran to its end.
     *
     * @param prompt the parts of its prompt, not null
     * @param weightsVersion the version of the weights that served it
     * @param knownIndex the index of the published state when it was sent
     * @param sentMillis when it was sent
     */
    void onCompleted(PromptParts prompt, int weightsVersion, long knownIndex, long sentMillis) {
        boolean changed = false;
        for (String part : prompt.shared()) {
            changed |= suspects.recordCompletion(new CompletedPart(part, weightsVersion, knownIndex), sentMillis);
        }
        if (changed) {
            scheduleCompletionReport();
            refreshCondemned();
        }
    }

    private boolean refreshCondemned() {
        Set<String> previous = condemned;
        condemned = suspects.condemned();
        metrics.setBlockedPromptParts(condemned.size());
        trialRequester.update(condemned);
        Set<String> newlyCondemned = new HashSet<>(condemned);
        newlyCondemned.removeAll(previous);
        newlyCondemned.forEach(part -> logChange("sent to no target any more", part));
        previous.stream().filter(part -> !condemned.contains(part)).forEach(part -> logChange("sent again", part));
        return !newlyCondemned.isEmpty();
    }

    private void logChange(String event, String part) {
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, event)
                .with(DecisionField.PROMPT_PART, part)
                .with(DecisionField.ENDED_TARGETS, String.join(",", suspects.endedTargetsOf(part)))
                .write();
    }

    private void scheduleCompletionReport() {
        if (!reportScheduled && !suspects.unreportedCompletions().isEmpty()) {
            reportScheduled = true;
            reactor.delayBackground(
                    1 + ThreadLocalRandom.current().nextInt(MAX_REPORT_DELAY_MILLIS), this::reportCompletions);
        }
    }

    private void reportCompletions() {
        reportScheduled = false;
        List<CompletedPart> unreported = suspects.unreportedCompletions();
        if (unreported.isEmpty()) {
            return;
        }
        unreported.forEach(each -> metrics.suspectEvent(ServingMetrics.PART_COMPLETED));
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, "ran to their end")
                .with(
                        DecisionField.PROMPT_PARTS,
                        unreported.stream().map(CompletedPart::part).collect(Collectors.joining(",")))
                .write();
        controlGroup.accept(new PublicationCommand.RecordOutcomes(List.of(), List.of(), unreported));
    }
}

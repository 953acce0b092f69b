package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Optional;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.daemon.http.DisconnectCause;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLine;
import org.bankturn.daemon.observe.RequestOutcome;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.ConcurrentAttempts;
import org.bankturn.routing.FailureCause;
import org.bankturn.routing.HoldReason;
import org.bankturn.routing.NextStep;
import org.bankturn.routing.RequestProgress;
import org.bankturn.routing.RetryAfter;
import org.bankturn.service.Account;
import org.bankturn.service.Route;
import org.bankturn.service.Service;

/**
 * A request in flight, sent to one target after the other until it is answered completely or given up.
 *
 * <p>A silent target keeps the request until another one delivers the next part of the response. A request that may not
 * be repeated is sent to another target only if the previous one stated that it did not run it, or if no byte was sent.
 *
 * <p>ForwardedRequest is confined to its reactor's thread.
 */
final class ForwardedRequest {
    private static final byte[] EMPTY_BODY = new byte[0];

    /** Status of condemned requests; unlike a 5xx status, it does not indicate an unhealthy service. */
    private static final int TOO_MANY_REQUESTS = 429;

    private final Gateway gateway;
    private final ServerExchange exchange;
    private final RequestMetadata metadata;
    private final Route route;
    private final Account account;
    private long endMillis;
    private final RequestProgress progress;
    private final RequestLines lines;
    private final ConcurrentAttempts<Attempt> inFlight = ConcurrentAttempts.none();

    /** The attempt that was started last, or that delivered the last part of the response. */
    private Attempt attempt;

    /** Why the next attempt is started beside those in flight, null if it is not. */
    private String stallReason;

    private boolean stallRecorded;
    private int eventsForwarded;
    private RequestFingerprint fingerprint;
    private boolean trial;

    /** Whether the shutdown of the gateway leaves less time than the caller and the route do. */
    private boolean limitedToShutdown;

    /** Gives the request up at its deadline, null before it is forwarded. */
    private ScheduledRunnable timeout;

    /** Looks for a target again, null if none is awaited. */
    private ScheduledRunnable targetWait;

    private Certainty certainty = Certainty.NOT_AWAITED;

    /** Whether the next attempt waits for checks of targets that the request may have crashed. */
    private enum Certainty {
        NOT_AWAITED,
        AWAITED,
        REACHED
    }

    ForwardedRequest(Gateway gateway, ServerExchange exchange, RequestMetadata metadata, Route route, Account account) {
        this.gateway = gateway;
        this.exchange = exchange;
        this.metadata = metadata;
        this.route = route;
        this.lines = new RequestLines(gateway, this);
        this.account = account;
        long timeoutMillis = metadata.deadlineMillis() > 0
                ? Math.min(metadata.deadlineMillis(), route.timeoutMillis())
                : route.timeoutMillis();
        this.endMillis = exchange.receivedMillis() + timeoutMillis;
        Service service =
                gateway.service(route.selectService(metadata.id().hashCode())).orElseThrow();
        this.progress = RequestProgress.of(route, account, service, metadata.promptTokens(), endMillis);
    }

    void start() {
        exchange.onClientDisconnect(this::onCallerDisconnected);
        if (!gateway.crashDetector().isCondemned(this)) {
            startForwarding();
            return;
        }
        gateway.crashDetector().requestTrial(this).whenResult(this::startTrialOrRefuse);
    }

    private void startTrialOrRefuse(boolean granted) {
        if (exchange.isFinished()) {
            return;
        }
        trial = granted;
        if (granted) {
            startForwarding();
        } else {
            gateway.metrics().suspectEvent(ServingMetrics.SUSPECT_REFUSED);
            refuseCondemned();
        }
    }

    private void startForwarding() {
        gateway.requestStarted(this);
        gateway.policy().requestArrived(progress);
        scheduleTimeout();
        limitToShutdown();
        sendToNext();
    }

    private void scheduleTimeout() {
        if (timeout != null) {
            timeout.cancel();
        }
        timeout = gateway.reactor().delayBackground(Math.max(1, endMillis - now()), this::onTimeout);
    }

    /** Brings the deadline forward to the time that the shutdown of the gateway leaves, if there is one. */
    void limitToShutdown() {
        if (gateway.finalAnswerMillis() < endMillis) {
            limitedToShutdown = true;
            endMillis = gateway.finalAnswerMillis();
            progress.limitDeadline(endMillis);
            scheduleTimeout();
        }
    }

    private long now() {
        return gateway.clock().millis();
    }

    // ---- sending

    /** Sends the request to a further target, unless an attempt in flight is not silent. */
    private void sendToNext() {
        if (exchange.isFinished() || !inFlight.needsFurther() || awaitsCertainty()) {
            return;
        }
        if (isTooLateToSend()) {
            giveUp(FailureCause.SHUTDOWN, "shutting down before it could be answered");
            return;
        }
        NextStep step = gateway.policy().next(progress);
        gateway.requestPermits();
        if (step instanceof NextStep.PollLoad ask) {
            gateway.pollLoad(ask.targets()).whenComplete(this::sendToNext);
        } else if (step instanceof NextStep.AwaitPermit wait) {
            gateway.awaitPermit(wait).whenComplete(this::sendToNext);
        } else if (step instanceof NextStep.AwaitTarget wait) {
            awaitTarget(wait.timeoutMillis());
        } else if (step instanceof NextStep.Send send) {
            sendTo(send);
        } else if (step instanceof NextStep.GiveUp giveUp) {
            giveUpUnlessInFlight(giveUp);
        }
    }

    /** Returns true if it certainly has not run and would probably have no response before the end of the shutdown. */
    private boolean isTooLateToSend() {
        if (!limitedToShutdown || progress.mayHaveRun() || exchange.hasStartedResponse() || !inFlight.isEmpty()) {
            return false;
        }
        long expected = gateway.responseTimes()
                .expectedMillis(route.name(), route.kind().isRetryable());
        return expected > remainingMillis();
    }

    /** Returns true if the request waits until it is known whether it must be stopped; that takes a short time at most. */
    private boolean awaitsCertainty() {
        if (certainty == Certainty.NOT_AWAITED) {
            Optional<Promise<Void>> checks = gateway.crashDetector().awaitCertainty(this);
            checks.ifPresent(this::awaitCertainty);
        }
        return certainty == Certainty.AWAITED;
    }

    private void awaitCertainty(Promise<Void> checks) {
        certainty = Certainty.AWAITED;
        checks.whenResult(() -> {
            certainty = Certainty.REACHED;
            sendToNext();
        });
    }

    /** Gives the request up, unless a silent target may still respond. */
    private void giveUpUnlessInFlight(NextStep.GiveUp giveUp) {
        if (inFlight.isEmpty()) {
            giveUp(giveUp.cause(), giveUp.reason(), giveUp.retryAfterMillis());
        } else if (!stallRecorded) {
            stallRecorded = true;
            lines.begin(DecisionKind.STALLED, giveUp.reason())
                    .with(DecisionField.CAUSE, giveUp.cause().label())
                    .write();
        }
    }

    private void awaitTarget(long millis) {
        if (targetWait != null) {
            return;
        }
        targetWait = gateway.reactor().delayBackground(millis, () -> {
            targetWait = null;
            sendToNext();
        });
    }

    private void sendTo(NextStep.Send send) {
        if (progress.sends() > 0) {
            gateway.metrics().retried(service().name());
        }
        if (stallReason != null) {
            recordRetry(stallReason);
        }
        stallReason = null;
        stallRecorded = false;
        certainty = Certainty.NOT_AWAITED;
        attempt = new Attempt(this, gateway, send.candidate());
        inFlight.started(attempt);
        attempt.start();
    }

    /** Handles a connection lost during the request, once it is known whether a process listens at the target's address. */
    void onConnectionLost(Attempt lost, String reason) {
        TargetSighting target = lost.sighting();
        gateway.crashDetector().runs().onConnectionLost(target).whenResult(() -> retryOrGiveUp(target, reason));
    }

    /** Handles a response that was given up because it is too large; that shows nothing of a crash. */
    void onResponseTooLarge(Attempt ended) {
        retryOrGiveUp(ended.sighting(), "response too large");
    }

    /** Looks for another target beside a stalled one, without waiting to learn whether that one has crashed. */
    void onStalled(Attempt stalled, String reason) {
        if (inFlight.becameSilent(stalled)) {
            stallRecorded = false;
        }
        // a trial is sent to one target only
        if (!trial) {
            stallReason = reason;
            sendToNext();
        }
    }

    private void retryOrGiveUp(TargetSighting target, String reason) {
        if (trial || gateway.crashDetector().isCondemned(this)) {
            stopCondemned();
        } else if (route.kind().isRetryable()) {
            retry(reason);
        } else {
            giveUp(FailureCause.NOT_REPEATABLE, reason + " from " + target.id());
        }
    }

    /** Retries the request at another target, if the policy allows it and no attempt in flight may still succeed. */
    void retry(String reason) {
        if (!inFlight.needsFurther()) {
            return;
        }
        stallReason = null;
        recordRetry(reason);
        sendToNext();
    }

    private void recordRetry(String reason) {
        lines.begin(progress.lastEventId() == null ? DecisionKind.RETRIED : DecisionKind.RESUMED, reason)
                .write();
    }

    // ---- completion

    /** Stops the request because too many targets have crashed while running it. */
    void stopCondemned() {
        if (exchange.isFinished()) {
            return;
        }
        gateway.metrics().suspectEvent(ServingMetrics.SUSPECT_STOPPED);
        if (exchange.hasStartedResponse() || progress.mayHaveRun()) {
            giveUp(FailureCause.CONDEMNED, condemnedReason());
        } else {
            cancelAttempts();
            refuseCondemned();
        }
    }

    /** Refuses the request with a long retry delay. */
    private void refuseCondemned() {
        recordOutcome(RequestOutcome.REFUSED, TOO_MANY_REQUESTS, FailureCause.CONDEMNED, condemnedReason());
        exchange.respond(
                gateway.dialect().buildResponse(TOO_MANY_REQUESTS, metadata, RetryAfter.CONDEMNED_MILLIS), EMPTY_BODY);
    }

    private String condemnedReason() {
        return gateway.crashDetector().condemnedReason(this);
    }

    /** Ends the request: as refused if it certainly has not run, as failed otherwise. */
    void giveUp(FailureCause cause, String reason) {
        giveUp(cause, reason, RetryAfter.OTHER_GATEWAY_MILLIS);
    }

    private void giveUp(FailureCause cause, String reason, long retryAfterMillis) {
        cancelAttempts();
        if (exchange.isFinished()) {
            return;
        }
        if (exchange.hasStartedResponse()) {
            recordBroken(cause, reason);
            recordOutcome(RequestOutcome.FAILED, 0, cause, reason);
            exchange.abort();
            return;
        }
        boolean mayHaveRun = progress.mayHaveRun();
        boolean timeUp = gateway.policy().isDeadlineReached(progress);
        int status = !mayHaveRun ? 503 : timeUp ? 504 : 502;
        recordOutcome(mayHaveRun ? RequestOutcome.FAILED : RequestOutcome.REFUSED, status, cause, reason);
        exchange.respond(
                gateway.dialect().buildResponse(status, metadata, mayHaveRun ? 0 : retryAfterMillis), EMPTY_BODY);
    }

    /** Records that the complete response of a target was forwarded. */
    void onAnswered(int status) {
        // that a response ended with its connection does not prove that the request ran to its end
        if (status / 100 == 2 && !attempt.endedAtClose()) {
            gateway.crashDetector().onCompleted(this, attempt);
        }
        recordEnd(RequestOutcome.ANSWERED);
        gateway.responseTimes().record(route.name(), heldMillis());
        if (gateway.shouldLogAnswer() || attempt.endedAtClose()) {
            lines.beginOutcome(DecisionKind.ANSWERED, status, "answered by " + attempt.targetId(), attempt)
                    .with(DecisionField.ENDED_AT_CLOSE, attempt.endedAtClose())
                    .write();
        }
    }

    private void recordOutcome(RequestOutcome outcome, int status, FailureCause cause, String reason) {
        recordEnd(outcome);
        if (outcome == RequestOutcome.REFUSED) {
            gateway.metrics().requestRefused(service().name(), cause);
        }
        DecisionKind kind = outcome == RequestOutcome.REFUSED ? DecisionKind.REFUSED : DecisionKind.FAILED;
        DecisionLine line = lines.beginOutcome(kind, status, reason, attempt).with(DecisionField.CAUSE, cause.label());
        if (progress.sends() > 0) {
            lines.addCircumstances(line, eventsForwarded);
        }
        line.write();
    }

    private void recordEnd(RequestOutcome outcome) {
        if (trial && progress.sends() == 0) {
            gateway.crashDetector().returnTrial(this);
        }
        gateway.requestFinished(this);
        gateway.metrics().requestEnded(service().name(), outcome, heldMillis());
        releaseMemory();
    }

    /**
     * Frees the memory of the request. Timers, checks of targets and lists of sent requests may refer to it for a while;
     * of the body they need the fingerprint only.
     */
    private void releaseMemory() {
        if (timeout != null) {
            timeout.cancel();
        }
        if (targetWait != null) {
            targetWait.cancel();
        }
        if (progress.sends() > 0) {
            fingerprint();
        }
        exchange.discardBody();
    }

    /** Returns how long this gateway has held the request, in milliseconds. */
    long heldMillis() {
        return now() - exchange.receivedMillis();
    }

    /** Records a response that was started towards the caller and cannot be completed. */
    private void recordBroken(FailureCause cause, String reason) {
        gateway.metrics().responseBroken(service().name(), cause);
        DecisionLine line =
                lines.beginOutcome(DecisionKind.BROKEN, 0, reason, attempt).with(DecisionField.CAUSE, cause.label());
        lines.addCircumstances(line, eventsForwarded).write();
    }

    private void onTimeout() {
        if (exchange.isFinished()) {
            return;
        }
        if (!limitedToShutdown) {
            gateway.responseTimes().record(route.name(), heldMillis());
            giveUp(FailureCause.DEADLINE, "time is up");
        } else if (!exchange.hasStartedResponse()) {
            giveUp(FailureCause.SHUTDOWN, "the time to shut down is up");
        }
        // a response that has begun goes on until the process exits
    }

    private void onCallerDisconnected(DisconnectCause disconnect) {
        cancelAttempts();
        if (exchange.hasStartedResponse()) {
            breakingCause(disconnect).ifPresent(cause -> recordBroken(cause, disconnect.label()));
        }
        recordEnd(RequestOutcome.CANCELLED);
        DecisionLine line = lines.beginOutcome(DecisionKind.CANCELLED, 0, "caller disconnected", attempt)
                .with(DecisionField.DISCONNECT, disconnect.label());
        lines.addCircumstances(line, eventsForwarded).write();
    }

    /** Returns the cause if this gateway closed the connection, empty if the caller or the network did. */
    private static Optional<FailureCause> breakingCause(DisconnectCause disconnect) {
        return switch (disconnect) {
            case WRITE_TIMEOUT, SLOW_READER -> Optional.of(FailureCause.CALLER_STALLED);
            case SHUTDOWN -> Optional.of(FailureCause.SHUTDOWN);
            default -> Optional.empty();
        };
    }

    private void cancelAttempts() {
        inFlight.clear().forEach(each -> each.cancel(AttemptEnding.CANCELLED));
    }

    // ---- used by attempts

    ServerExchange exchange() {
        return exchange;
    }

    RequestMetadata metadata() {
        return metadata;
    }

    Route route() {
        return route;
    }

    Service service() {
        return progress.service();
    }

    String accountName() {
        return account == null ? null : account.name();
    }

    /** Returns the fingerprint shared by all repetitions of the request, computed on first use, not null. */
    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            String caller = account == null ? "" : account.name();
            fingerprint = RequestFingerprint.of(metadata.path(), caller, exchange.body());
        }
        return fingerprint;
    }

    /** Returns true if this is a trial of a condemned request. */
    boolean isTrial() {
        return trial;
    }

    /** Returns the time from the receipt of the request to its deadline, in milliseconds. */
    long timeoutMillis() {
        return endMillis - exchange.receivedMillis();
    }

    long remainingMillis() {
        return endMillis - now();
    }

    int urgency() {
        return progress.priority();
    }

    /** Returns the progress of the request, not null. */
    RequestProgress progress() {
        return progress;
    }

    /** Returns the id of the last event forwarded completely, null if there is none. */
    String lastEventId() {
        return progress.lastEventId();
    }

    /** Records an event that was forwarded completely. */
    void recordEvent(String eventId) {
        progress.eventForwarded(eventId, now());
        eventsForwarded++;
    }

    /** Records how an attempt ended. */
    void recordAttempt(AttemptSummary summary) {
        lines.attemptEnded(summary);
    }

    /** Records that an attempt received data. */
    void onData(Attempt active) {
        inFlight.receivedData(active);
        stallReason = null;
    }

    /** Records that an attempt delivers the next part of the response, and cancels all others. */
    void onDelivered(Attempt delivering) {
        attempt = delivering;
        inFlight.delivered(delivering).forEach(other -> other.cancel(AttemptEnding.SUPERSEDED));
    }

    /** Records that an attempt ended. */
    void onAttemptEnded(Attempt ended) {
        inFlight.ended(ended);
    }

    /** Records that the request is about to be sent to a target. */
    void markSent() {
        progress.sent();
    }

    /** Records that a target stated that it did not run the request. */
    void markNotRun(String target) {
        progress.notRun(target);
    }

    /** Handles a target that stopped accepting requests before this one was sent. */
    void onHeldBack(TargetSighting target, HoldReason reason) {
        gateway.metrics().requestHeldBack(reason.label());
        progress.targetHeldBack(target.id());
        sendToNext();
    }

    /** Handles an attempt that was ended because its target holds weights that may no longer start requests. */
    void onOutdatedWeights() {
        if (trial) {
            stopCondemned();
        } else {
            retry("target holds older weights than required");
        }
    }

    /** Handles a target that the configuration ceased to allow before the request was sent. */
    void onDisallowed(TargetSighting target) {
        gateway.metrics().requestHeldBack(FailureCause.REGIONS.label());
        progress.targetHeldBack(target.id());
        recordRetry("region of " + target.id() + " is not allowed any more");
        sendToNext();
    }

    /** Handles a failure to connect; nothing was sent. */
    void onConnectFailure() {
        progress.connectionFailed();
        sendToNext();
    }

    /** Returns why the request cannot be moved to another target, empty if it can. */
    Optional<FailureCause> retryObstacle() {
        return gateway.policy().retryObstacle(progress);
    }

    /** Handles a 5xx response: retries at another target if allowed, otherwise forwards the response. */
    void onFailureResponse(Attempt failed) {
        if (!inFlight.isEmpty() || exchange.hasStartedResponse()) {
            retry("status " + failed.status());
            return;
        }
        Optional<NextStep.Send> alternative = gateway.policy().retryAfterFailure(progress);
        if (alternative.isEmpty()) {
            failed.forwardResponse();
            return;
        }
        gateway.log()
                .line(DecisionKind.RETRIED)
                .with(DecisionField.REQUEST, metadata.id())
                .with(DecisionField.REASON, "status " + failed.status())
                .write();
        sendTo(alternative.get());
    }
}

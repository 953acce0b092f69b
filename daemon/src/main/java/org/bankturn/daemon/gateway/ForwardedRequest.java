package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import java.util.Optional;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.RequestOutcome;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.ComeBack;
import org.bankturn.routing.HeldBack;
import org.bankturn.routing.NextStep;
import org.bankturn.routing.RequestProgress;
import org.bankturn.service.Account;
import org.bankturn.service.Route;
import org.bankturn.service.Service;

/**
 * One request on its way: sent to one target at a time until an answer is whole, or until it must be given up on.
 *
 * <p>A request that may run only once goes to another target only after the target before said that it did not run it, or
 * if no byte of it left. ForwardedRequest is confined to its reactor's thread.
 */
final class ForwardedRequest {
    private static final byte[] NOTHING = new byte[0];
    private static final int LAST_URGENCY = 9;

    /** Too many of the same request: true of a caller that sends it again and again, and no word on the service's health. */
    private static final int TOO_MANY = 429;

    private final Gateway gateway;
    private final ServerExchange exchange;
    private final RequestMetadata metadata;
    private final Route route;
    private final Account account;
    private final long endMillis;
    private final RequestProgress progress;
    private Attempt attempt;
    private RequestFingerprint fingerprint;
    private boolean trial;

    ForwardedRequest(Gateway gateway, ServerExchange exchange, RequestMetadata terms, Route route, Account account) {
        this.gateway = gateway;
        this.exchange = exchange;
        this.metadata = terms;
        this.route = route;
        this.account = account;
        long patience = terms.deadlineMillis() > 0
                ? Math.min(terms.deadlineMillis(), route.timeoutMillis())
                : route.timeoutMillis();
        this.endMillis = exchange.receivedMillis() + patience;
        Service service =
                gateway.service(route.serviceFor(terms.id().hashCode())).orElseThrow();
        this.progress = RequestProgress.of(route, service, terms.promptTokens(), endMillis);
    }

    void start() {
        if (!gateway.crashDetector().isCondemned(this)) {
            begin();
            return;
        }
        gateway.crashDetector().requestTrial(this).whenResult(this::beginTrialOrRefuse);
    }

    private void beginTrialOrRefuse(boolean granted) {
        if (exchange.isFinished()) {
            return;
        }
        trial = granted;
        if (granted) {
            begin();
        } else {
            gateway.metrics().suspected(ServingMetrics.SUSPECT_REFUSED);
            refuseCondemned();
        }
    }

    private void begin() {
        gateway.requestStarted(this);
        gateway.policy().arrived(progress);
        exchange.whenGone(this::callerLeft);
        gateway.reactor().delayBackground(Math.max(1, endMillis - now()), this::timeOut);
        sendToNext();
    }

    private long now() {
        return gateway.clock().millis();
    }

    // ---- sending

    private void sendToNext() {
        if (exchange.isFinished()) {
            return;
        }
        NextStep step = gateway.policy().next(progress);
        gateway.requestPermits();
        if (step instanceof NextStep.Ask ask) {
            gateway.pollLoad(ask.targets()).whenComplete(this::sendToNext);
        } else if (step instanceof NextStep.AwaitPermit wait) {
            gateway.awaitPermit(wait).whenComplete(this::sendToNext);
        } else if (step instanceof NextStep.Send send) {
            sendTo(send);
        } else if (step instanceof NextStep.GiveUp giveUp) {
            giveUp(giveUp.reason(), giveUp.comeBackMillis());
        }
    }

    private void sendTo(NextStep.Send send) {
        if (progress.sends() > 0) {
            gateway.metrics().retried(service().name());
        }
        attempt = new Attempt(this, gateway, send.choice(), send.leastVersion());
        attempt.start();
    }

    /** The request broke off at a target that may have ended; it goes on once that is known. */
    void onConnectionLost(TargetSighting target, String reason) {
        gateway.crashDetector().onConnectionLost(target, this).whenResult(() -> goOn(target, reason));
    }

    /** The target said nothing for long, so a word of whether it ended is not waited for. */
    void onStalled(TargetSighting target, String reason) {
        Promise<Void> unused = gateway.crashDetector().onConnectionLost(target, this);
        goOn(target, reason);
    }

    private void goOn(TargetSighting target, String reason) {
        if (trial || gateway.crashDetector().isCondemned(this)) {
            stopCondemned();
        } else if (route.kind().mayRepeat()) {
            retry(reason);
        } else {
            giveUp(reason + " from " + target.id());
        }
    }

    /** Sends the request to another target, if one may still have it. */
    void retry(String reason) {
        gateway.log()
                .line(progress.lastEvent() == null ? DecisionKind.RETRIED : DecisionKind.RESUMED)
                .with(DecisionField.REQUEST, metadata.id())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SENDS, progress.sends())
                .with(DecisionField.HELD_BACK, gateway.policy().heldBack(progress))
                .write();
        sendToNext();
    }

    // ---- ends

    /** Stops the request: too many targets have ended under it. */
    void stopCondemned() {
        if (exchange.isFinished()) {
            return;
        }
        gateway.metrics().suspected(ServingMetrics.SUSPECT_STOPPED);
        if (exchange.hasBegun() || progress.mayHaveRun()) {
            giveUp(condemnedReason());
        } else {
            dropAttempt();
            refuseCondemned();
        }
    }

    /** Says that this attempt did not run and that more of them will not either, for long. */
    private void refuseCondemned() {
        ended(RequestOutcome.REFUSED, TOO_MANY, condemnedReason());
        exchange.answer(gateway.dialect().buildResponse(TOO_MANY, metadata, ComeBack.CONDEMNED_MILLIS), NOTHING);
    }

    private String condemnedReason() {
        return gateway.crashDetector().endedTargetCount(this) + " targets ended under request " + fingerprint();
    }

    /** Gives the final answer at once: refused if it certainly did not run, failed otherwise. */
    void giveUp(String reason) {
        giveUp(reason, ComeBack.TO_ANOTHER_GATEWAY_MILLIS);
    }

    private void giveUp(String reason, long comeBackMillis) {
        dropAttempt();
        if (exchange.isFinished()) {
            return;
        }
        if (exchange.hasBegun()) {
            ended(RequestOutcome.FAILED, 0, reason);
            exchange.abort();
            return;
        }
        boolean mayHaveRun = progress.mayHaveRun();
        boolean timeUp = gateway.policy().isTimeUp(progress);
        int status = !mayHaveRun ? 503 : timeUp ? 504 : 502;
        ended(mayHaveRun ? RequestOutcome.FAILED : RequestOutcome.REFUSED, status, reason);
        exchange.answer(gateway.dialect().buildResponse(status, metadata, mayHaveRun ? 0 : comeBackMillis), NOTHING);
    }

    /** The target's whole answer was passed on. */
    void onAnswered(int status) {
        if (status / 100 == 2) {
            gateway.crashDetector().onCompleted(this);
        }
        ended(RequestOutcome.ANSWERED, status, "answered by " + attempt.targetId());
    }

    private void ended(RequestOutcome outcome, int status, String reason) {
        gateway.requestFinished(this);
        long heldMillis = now() - exchange.receivedMillis();
        gateway.metrics().requestEnded(service().name(), outcome, heldMillis);
        if (outcome == RequestOutcome.ANSWERED && !gateway.shouldLogAnswer()) {
            return;
        }
        gateway.log()
                .line(kindOf(outcome))
                .with(DecisionField.REQUEST, metadata.id())
                .with(DecisionField.ROUTE, route.name())
                .with(DecisionField.STATUS, status)
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SENDS, progress.sends())
                .with(DecisionField.HELD_BACK, gateway.policy().heldBack(progress))
                .with(DecisionField.MAY_HAVE_RUN, progress.mayHaveRun())
                .with(DecisionField.VERSION, gateway.policy().leastVersion(service()))
                .with(DecisionField.PREDICTED_MS, attempt == null ? 0 : attempt.predictedMillis())
                .with(DecisionField.FIRST_EVENT_MS, attempt == null ? 0 : attempt.firstEventMillis())
                .with(DecisionField.HELD_MS, heldMillis)
                .write();
    }

    private static DecisionKind kindOf(RequestOutcome outcome) {
        return switch (outcome) {
            case ANSWERED -> DecisionKind.ANSWERED;
            case REFUSED, DENIED -> DecisionKind.REFUSED;
            case FAILED -> DecisionKind.FAILED;
            case CANCELLED -> DecisionKind.CANCELLED;
        };
    }

    private void timeOut() {
        if (!exchange.isFinished()) {
            giveUp("time is up");
        }
    }

    private void callerLeft() {
        ended(RequestOutcome.CANCELLED, 0, "caller left");
        dropAttempt();
    }

    private void dropAttempt() {
        if (attempt != null) {
            attempt.cancel();
            attempt = null;
        }
    }

    // ---- what an attempt needs and tells

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

    /** Returns what the same request has in common whenever it comes again, not null; made only once it is needed. */
    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            String caller = account == null ? "" : account.name();
            fingerprint = RequestFingerprint.of(metadata.path(), caller, exchange.body());
        }
        return fingerprint;
    }

    /** Returns true if it is sent, although condemned, to see whether it does end its target. */
    boolean isTrial() {
        return trial;
    }

    long remainingMillis() {
        return endMillis - now();
    }

    int urgency() {
        int rank = account != null && account.priority() >= 0 ? account.priority() : route.priority();
        return Math.max(0, Math.min(LAST_URGENCY, rank));
    }

    /** Returns how far it has come, not null. */
    RequestProgress progress() {
        return progress;
    }

    /** Returns the id of the last event that the caller has whole, null if there is none. */
    String lastEventId() {
        return progress.lastEvent();
    }

    /** The caller has one more whole event. */
    void recordEvent(String eventId) {
        progress.passed(eventId);
    }

    /** The request is about to leave for a target. */
    void markSent() {
        progress.sent();
    }

    /** The target said that it did not run the request. */
    void markNotRun() {
        progress.notRun();
    }

    /** The request may have run at a target, wholly or in part. */
    void markOutcomeUnknown() {
        progress.outcomeUnknown();
    }

    /** The target wanted no request any more once there was a connection to it, so nothing left. */
    void onHeldBack(TargetSighting target, HeldBack reason) {
        gateway.metrics().heldBack(reason.label());
        progress.heldBack(target.id());
        sendToNext();
    }

    /** No connection to the target was made, so nothing left. */
    void onConnectFailure() {
        progress.notConnected();
        sendToNext();
    }

    boolean hasAlternativeTarget() {
        return gateway.policy().mayGoElsewhere(progress);
    }

    /** A target answered with a failure of its own, which is passed on unless another target may try. */
    void onFailureResponse(Attempt failed) {
        Optional<NextStep.Send> another =
                exchange.hasBegun() ? Optional.empty() : gateway.policy().afterFailure(progress);
        if (another.isEmpty()) {
            failed.forwardResponse();
            return;
        }
        gateway.log()
                .line(DecisionKind.RETRIED)
                .with(DecisionField.REQUEST, metadata.id())
                .with(DecisionField.REASON, "status " + failed.status())
                .write();
        sendTo(another.get());
    }
}

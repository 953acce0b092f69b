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
import org.bankturn.routing.HoldReason;
import org.bankturn.routing.NextStep;
import org.bankturn.routing.RequestProgress;
import org.bankturn.routing.RetryAfter;
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
    private final CallerTerms terms;
    private final Route route;
    private final Account account;
    private final long endMillis;
    private final RequestProgress progress;
    private Attempt attempt;
    private RequestFingerprint fingerprint;
    private boolean trial;

    ForwardedRequest(Gateway gateway, ServerExchange exchange, CallerTerms terms, Route route, Account account) {
        this.gateway = gateway;
        this.exchange = exchange;
        this.terms = terms;
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
        if (!gateway.crashes().isCondemned(this)) {
            begin();
            return;
        }
        gateway.crashes().takeTrial(this).whenResult(this::beginTrialOrRefuse);
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
        gateway.began(this);
        gateway.policy().requestArrived(progress);
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
        gateway.askForPermits();
        if (step instanceof NextStep.PollLoad ask) {
            gateway.askForLoad(ask.targets()).whenComplete(this::sendToNext);
        } else if (step instanceof NextStep.AwaitPermit wait) {
            gateway.awaitPermit(wait).whenComplete(this::sendToNext);
        } else if (step instanceof NextStep.Send send) {
            sendTo(send);
        } else if (step instanceof NextStep.GiveUp giveUp) {
            giveUp(giveUp.reason(), giveUp.retryAfterMillis());
        }
    }

    private void sendTo(NextStep.Send send) {
        if (progress.sends() > 0) {
            gateway.metrics().retried(service().name());
        }
        attempt = new Attempt(this, gateway, send.candidate(), send.minVersion());
        attempt.begin();
    }

    /** The request broke off at a target that may have ended; it goes on once that is known. */
    void brokeOff(TargetSighting target, String reason) {
        gateway.crashes().brokeOff(target, this).whenResult(() -> goOn(target, reason));
    }

    /** The target said nothing for long, so a word of whether it ended is not waited for. */
    void fellSilent(TargetSighting target, String reason) {
        Promise<Void> unused = gateway.crashes().brokeOff(target, this);
        goOn(target, reason);
    }

    private void goOn(TargetSighting target, String reason) {
        if (trial || gateway.crashes().isCondemned(this)) {
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
                .line(progress.lastEventId() == null ? DecisionKind.RETRIED : DecisionKind.RESUMED)
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SENDS, progress.sends())
                .with(DecisionField.HELD_BACK, gateway.policy().heldBackTargets(progress))
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
        exchange.answer(gateway.dialect().ownAnswer(TOO_MANY, terms, RetryAfter.CONDEMNED_MILLIS), NOTHING);
    }

    private String condemnedReason() {
        return gateway.crashes().endsUnder(this) + " targets ended under request " + fingerprint();
    }

    /** Gives the final answer at once: refused if it certainly did not run, failed otherwise. */
    void giveUp(String reason) {
        giveUp(reason, RetryAfter.OTHER_GATEWAY_MILLIS);
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
        boolean timeUp = gateway.policy().isDeadlineReached(progress);
        int status = !mayHaveRun ? 503 : timeUp ? 504 : 502;
        ended(mayHaveRun ? RequestOutcome.FAILED : RequestOutcome.REFUSED, status, reason);
        exchange.answer(gateway.dialect().ownAnswer(status, terms, mayHaveRun ? 0 : comeBackMillis), NOTHING);
    }

    /** The target's whole answer was passed on. */
    void answered(int status) {
        if (status / 100 == 2) {
            gateway.crashes().ranWhole(this);
        }
        ended(RequestOutcome.ANSWERED, status, "answered by " + attempt.targetId());
    }

    private void ended(RequestOutcome outcome, int status, String reason) {
        gateway.ended(this);
        long heldMillis = now() - exchange.receivedMillis();
        gateway.metrics().requestEnded(service().name(), outcome, heldMillis);
        if (outcome == RequestOutcome.ANSWERED && !gateway.isSampled()) {
            return;
        }
        gateway.log()
                .line(kindOf(outcome))
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.ROUTE, route.name())
                .with(DecisionField.STATUS, status)
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SENDS, progress.sends())
                .with(DecisionField.HELD_BACK, gateway.policy().heldBackTargets(progress))
                .with(DecisionField.MAY_HAVE_RUN, progress.mayHaveRun())
                .with(DecisionField.VERSION, gateway.policy().minVersion(service()))
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
            attempt.drop();
            attempt = null;
        }
    }

    // ---- what an attempt needs and tells

    ServerExchange exchange() {
        return exchange;
    }

    CallerTerms terms() {
        return terms;
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
            fingerprint = RequestFingerprint.of(terms.path(), caller, exchange.body());
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
    String lastEvent() {
        return progress.lastEventId();
    }

    /** The caller has one more whole event. */
    void passed(String eventId) {
        progress.eventForwarded(eventId);
    }

    /** The request is about to leave for a target. */
    void sent() {
        progress.sent();
    }

    /** The target said that it did not run the request. */
    void notRun() {
        progress.notRun();
    }

    /** The request may have run at a target, wholly or in part. */
    void outcomeUnknown() {
        progress.outcomeUnknown();
    }

    /** The target wanted no request any more once there was a connection to it, so nothing left. */
    void heldBack(TargetSighting target, HoldReason reason) {
        gateway.metrics().heldBack(reason.label());
        progress.targetHeldBack(target.id());
        sendToNext();
    }

    /** No connection to the target was made, so nothing left. */
    void notConnected() {
        progress.connectionFailed();
        sendToNext();
    }

    boolean mayGoElsewhere() {
        return gateway.policy().canRetryElsewhere(progress);
    }

    /** A target answered with a failure of its own, which is passed on unless another target may try. */
    void failedBy(Attempt failed) {
        Optional<NextStep.Send> another =
                exchange.hasBegun() ? Optional.empty() : gateway.policy().retryAfterFailure(progress);
        if (another.isEmpty()) {
            failed.passAnswer();
            return;
        }
        gateway.log()
                .line(DecisionKind.RETRIED)
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.REASON, "status " + failed.status())
                .write();
        sendTo(another.get());
    }
}

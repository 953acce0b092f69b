package org.bankturn.daemon.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.bankturn.daemon.gateway.TargetTable.Choice;
import org.bankturn.daemon.gateway.TargetTable.Wanted;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.RequestOutcome;
import org.bankturn.routing.AdmissionPolicy;
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
    private static final int MOST_FAILED_CONNECTIONS = 4;
    private static final long COME_BACK_MILLIS = 300;
    private static final long COME_BACK_AFTER_ALL_MILLIS = 1_000;

    /** Targets that must still be given weights, or that are still to start, are not there within a second or two. */
    static final long COME_BACK_WITHOUT_TARGET_MILLIS = 5_000;

    /** Callers that were refused because engines are full come back within this share of an answer's time ... */
    private static final double COME_BACK_EARLIEST_SHARE = 0.75;

    /** ... and that much more, at random. */
    private static final double COME_BACK_SPREAD_SHARE = 0.75;

    private static final long LEAST_REMAINING_MILLIS = 20;
    private static final int LAST_URGENCY = 9;

    private final Gateway gateway;
    private final ServerExchange exchange;
    private final CallerTerms terms;
    private final Route route;
    private final Account account;
    private final long endMillis;
    private final Set<String> tried = new HashSet<>();
    private Service service;
    private int sends;
    private int failedConnections;
    private boolean mayHaveRun;
    private boolean earlierMayHaveRun;
    private String lastEvent;
    private Attempt attempt;
    private long comeBackMillis = COME_BACK_MILLIS;

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
    }

    void start() {
        service = chooseService();
        gateway.retryBudget(service.name()).requestSeen();
        exchange.whenGone(this::callerLeft);
        gateway.reactor().delayBackground(Math.max(1, endMillis - now()), this::timeOut);
        sendToNext();
    }

    private Service chooseService() {
        return gateway.service(route.serviceFor(terms.id().hashCode())).orElseThrow();
    }

    private long now() {
        return gateway.clock().millis();
    }

    // ---- sending

    private void sendToNext() {
        if (exchange.isFinished()) {
            return;
        }
        if (sends >= route.maximumAttempts()) {
            giveUp("attempts used up");
            return;
        }
        if (endMillis - now() < LEAST_REMAINING_MILLIS) {
            giveUp("no time left");
            return;
        }
        int version = gateway.leastVersion(service);
        Optional<Choice> choice = choose(version);
        if (choice.isEmpty()) {
            comeBackMillis = tried.isEmpty() ? COME_BACK_WITHOUT_TARGET_MILLIS : COME_BACK_AFTER_ALL_MILLIS;
            giveUp("no target left");
            return;
        }
        if (sends == 0 && isTooLate(choice.get())) {
            comeBackMillis = comeBackAfterAnswers();
            gateway.correction(service.name()).refused();
            giveUp("would begin after " + Math.round(choice.get().predictedMillis()) + " ms");
            return;
        }
        if (sends > 0 && !gateway.retryBudget(service.name()).tryRetry()) {
            giveUp("retry budget used up");
            return;
        }
        sendTo(choice.get(), version);
    }

    private Optional<Choice> choose(int version) {
        return gateway.targets()
                .choose(new Wanted(service, version, gateway.versionsDue(service), terms.promptTokens(), tried));
    }

    private void sendTo(Choice choice, int version) {
        tried.add(choice.target().sighting().id());
        if (sends > 0) {
            gateway.metrics().retried(service.name());
        }
        attempt = new Attempt(this, gateway, choice, Math.max(0, version));
        attempt.begin();
    }

    /** Returns true if even the best target would begin so late that the request is better refused now. */
    private boolean isTooLate(Choice choice) {
        if (service.engine() == null) {
            return false;
        }
        double expected = gateway.correction(service.name()).applyTo(choice.predictedMillis());
        int mostUrgent = gateway.mostUrgent(service);
        return expected > AdmissionPolicy.latestMillis(route.objectiveMillis(), route.priority(), mostUrgent);
    }

    /** Returns when the answers under way now will have ended, spread so that those refused together come back apart. */
    private long comeBackAfterAnswers() {
        double answers = service.engine().usualAnswerMillis();
        double spread = COME_BACK_EARLIEST_SHARE
                + COME_BACK_SPREAD_SHARE * ThreadLocalRandom.current().nextDouble();
        return Math.max(COME_BACK_MILLIS, Math.round(answers * spread));
    }

    /** Sends the request to another target, if one may still have it. */
    void retry(String reason) {
        gateway.log()
                .line(lastEvent == null ? DecisionKind.RETRIED : DecisionKind.RESUMED)
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SENDS, sends)
                .write();
        sendToNext();
    }

    // ---- ends

    /** Gives the final answer at once: refused if it certainly did not run, failed otherwise. */
    void giveUp(String reason) {
        dropAttempt();
        if (exchange.isFinished()) {
            return;
        }
        if (exchange.hasBegun()) {
            ended(RequestOutcome.FAILED, 0, reason);
            exchange.abort();
            return;
        }
        boolean timeUp = endMillis - now() < LEAST_REMAINING_MILLIS;
        int status = !mayHaveRun ? 503 : timeUp ? 504 : 502;
        ended(mayHaveRun ? RequestOutcome.FAILED : RequestOutcome.REFUSED, status, reason);
        exchange.answer(gateway.dialect().ownAnswer(status, terms, mayHaveRun ? 0 : comeBackMillis), NOTHING);
    }

    /** The target's whole answer was passed on. */
    void answered(int status) {
        ended(RequestOutcome.ANSWERED, status, "answered by " + attempt.targetId());
    }

    private void ended(RequestOutcome outcome, int status, String reason) {
        long heldMillis = now() - exchange.receivedMillis();
        gateway.metrics().requestEnded(service.name(), outcome, heldMillis);
        if (outcome == RequestOutcome.ANSWERED && !gateway.isSampled()) {
            return;
        }
        gateway.log()
                .line(kindOf(outcome))
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.ROUTE, route.name())
                .with(DecisionField.STATUS, status)
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SENDS, sends)
                .with(DecisionField.MAY_HAVE_RUN, mayHaveRun)
                .with(DecisionField.VERSION, gateway.leastVersion(service))
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
        return service;
    }

    String accountName() {
        return account == null ? null : account.name();
    }

    long remainingMillis() {
        return endMillis - now();
    }

    int urgency() {
        int rank = account != null && account.priority() >= 0 ? account.priority() : route.priority();
        return Math.max(0, Math.min(LAST_URGENCY, rank));
    }

    /** Returns the id of the last event that the caller has whole, null if there is none. */
    String lastEvent() {
        return lastEvent;
    }

    /** The caller has one more whole event. */
    void passed(String eventId) {
        lastEvent = eventId != null ? eventId : lastEvent;
    }

    /** The request is about to leave for a target. */
    void sent() {
        sends++;
        mayHaveRun = true;
    }

    /** The target said that it did not run the request. */
    void notRun() {
        mayHaveRun = earlierMayHaveRun;
    }

    /** The request may have run at a target, wholly or in part. */
    void outcomeUnknown() {
        earlierMayHaveRun = true;
    }

    /** No connection to the target was made, so nothing left. */
    void notConnected() {
        failedConnections++;
        if (failedConnections >= MOST_FAILED_CONNECTIONS) {
            giveUp("no connection to " + failedConnections + " targets");
        } else {
            sendToNext();
        }
    }

    boolean mayGoElsewhere() {
        boolean left = sends < route.maximumAttempts() && remainingMillis() > LEAST_REMAINING_MILLIS;
        return left && choose(gateway.leastVersion(service)).isPresent();
    }

    /** A target answered with a failure of its own, which is passed on unless another target may try. */
    void failedBy(Attempt failed) {
        boolean another = route.kind().mayRepeat()
                && !exchange.hasBegun()
                && mayGoElsewhere()
                && gateway.retryBudget(service.name()).tryRetry();
        if (!another) {
            failed.passAnswer();
            return;
        }
        gateway.log()
                .line(DecisionKind.RETRIED)
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.REASON, "status " + failed.status())
                .write();
        int version = gateway.leastVersion(service);
        choose(version).ifPresentOrElse(choice -> sendTo(choice, version), failed::passAnswer);
    }
}

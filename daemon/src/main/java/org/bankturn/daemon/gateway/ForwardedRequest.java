package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bankturn.daemon.gateway.EventSplitter.Event;
import org.bankturn.daemon.gateway.TargetTable.Choice;
import org.bankturn.daemon.gateway.TargetTable.Wanted;
import org.bankturn.daemon.http.AnswerListener;
import org.bankturn.daemon.http.HopFailure;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.routing.RetryBudget;
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
    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    private static final int MOST_FAILED_CONNECTIONS = 4;
    private static final long COME_BACK_MILLIS = 300;
    private static final long COME_BACK_AT_MOST_MILLIS = 1_500;
    private static final long COME_BACK_WITHOUT_TARGET_MILLIS = 1_000;
    private static final double TOO_LATE_SHARE = 0.9;
    private static final double HALF = 0.5;
    private static final long LEAST_SILENCE_MILLIS = 700;
    private static final double SILENT_OBJECTIVES = 1.8;
    private static final long SILENCE_IN_STREAM_MILLIS = 1_300;
    private static final double LEAST_PREDICTED_MILLIS = 50;
    private static final double PLAIN_ANSWER_MILLIS = 100;
    private static final long FULL_TARGET_MILLIS = 100;
    private static final long LEAST_REMAINING_MILLIS = 20;
    private static final long MOST_REST_UNREPEATABLE_MILLIS = 600;

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
            comeBackMillis = COME_BACK_WITHOUT_TARGET_MILLIS;
            giveUp("no target left");
            return;
        }
        if (sends == 0 && isTooLate(choice.get())) {
            comeBackMillis = comeBackAfter(choice.get());
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
        return gateway.targets().choose(new Wanted(service, version, terms.promptTokens(), tried));
    }

    private void sendTo(Choice choice, int version) {
        tried.add(choice.target().sighting().id());
        attempt = new Attempt(choice, Math.max(0, version));
        attempt.begin();
    }

    /** Returns true if even the best target would begin so late that the request is better refused now. */
    private boolean isTooLate(Choice choice) {
        if (service.engine() == null) {
            return false;
        }
        double expected = gateway.correction(service.name()).applyTo(choice.predictedMillis());
        return expected > route.objectiveMillis() * TOO_LATE_SHARE;
    }

    private long comeBackAfter(Choice choice) {
        double over =
                gateway.correction(service.name()).applyTo(choice.predictedMillis()) - route.objectiveMillis() * HALF;
        return Math.max(COME_BACK_MILLIS, Math.min(COME_BACK_AT_MOST_MILLIS, Math.round(over)));
    }

    private void retry(String reason) {
        gateway.log()
                .write(
                        lastEvent == null ? DecisionKind.RETRIED : DecisionKind.RESUMED,
                        "request",
                        terms.id(),
                        "reason",
                        reason,
                        "sends",
                        sends);
        sendToNext();
    }

    // ---- ends

    private void giveUp(String reason) {
        dropAttempt();
        if (exchange.isFinished()) {
            return;
        }
        if (exchange.hasBegun()) {
            logEnd(DecisionKind.FAILED, 0, reason);
            exchange.abort();
            return;
        }
        boolean timeUp = endMillis - now() < LEAST_REMAINING_MILLIS;
        int status = !mayHaveRun ? 503 : timeUp ? 504 : 502;
        logEnd(mayHaveRun ? DecisionKind.FAILED : DecisionKind.REFUSED, status, reason);
        exchange.answer(gateway.dialect().ownAnswer(status, terms, mayHaveRun ? 0 : comeBackMillis), NOTHING);
    }

    private void logEnd(DecisionKind kind, int status, String reason) {
        gateway.log()
                .write(
                        kind,
                        "request",
                        terms.id(),
                        "route",
                        route.name(),
                        "status",
                        status,
                        "reason",
                        reason,
                        "sends",
                        sends,
                        "may_have_run",
                        mayHaveRun,
                        "held_ms",
                        now() - exchange.receivedMillis());
    }

    private void timeOut() {
        if (!exchange.isFinished()) {
            giveUp("time is up");
        }
    }

    private void callerLeft() {
        logEnd(DecisionKind.CANCELLED, 0, "caller left");
        dropAttempt();
    }

    private void dropAttempt() {
        if (attempt != null) {
            attempt.drop();
            attempt = null;
        }
    }

    private static byte[] joined(HttpHead head, byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length + 512);
        bytes.writeBytes(head.encode());
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** One target's turn at the request. */
    private final class Attempt implements AnswerListener {
        private final TargetState target;
        private final double predictedMillis;
        private final int version;
        private final long beganMillis = now();
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private final EventSplitter events = new EventSplitter();
        private TargetConnection connection;
        private HttpHead head;
        private TargetAnswer answer;
        private boolean promptPending = true;
        private boolean over;
        private long heardMillis;

        Attempt(Choice choice, int version) {
            this.target = choice.target();
            this.predictedMillis = choice.predictedMillis();
            this.version = version;
        }

        void begin() {
            target.begin(terms.promptTokens(), beganMillis);
            long mostRest = route.kind().mayRepeat() ? Long.MAX_VALUE : MOST_REST_UNREPEATABLE_MILLIS;
            TargetConnection rested = target.takeResting(now(), mostRest);
            Promise<TargetConnection> connected = rested != null
                    ? Promise.of(rested)
                    : TargetConnection.connect(
                            gateway.reactor(),
                            gateway.clock(),
                            target.address().toSocketAddress(),
                            CONNECT_TIMEOUT_MILLIS);
            connected.whenComplete(this::connected);
        }

        private void connected(TargetConnection opened, Exception failure) {
            if (over) {
                if (opened != null) {
                    target.rest(opened);
                }
                return;
            }
            if (failure != null) {
                onFailure(HopFailure.NOT_CONNECTED);
                return;
            }
            connection = opened;
            sends++;
            mayHaveRun = true;
            long remaining = endMillis - now();
            HttpHead sent = gateway.dialect()
                    .toTarget(
                            exchange.head(),
                            new Forwarding(
                                    remaining,
                                    target.sighting().id(),
                                    account == null ? null : account.name(),
                                    lastEvent,
                                    version,
                                    urgency()));
            boolean hasBody =
                    exchange.body().length > 0 || !exchange.head().first().equals("GET");
            HttpHead framed = hasBody ? sent.with("Content-Length", Integer.toString(exchange.body().length)) : sent;
            connection.send(
                    joined(framed, exchange.body()), exchange.head().first().equals("HEAD"), this);
            heardMillis = now();
            watchSilence();
        }

        /** Takes a request that may be repeated away from a target that says nothing for long. */
        private void watchSilence() {
            if (!route.kind().mayRepeat()) {
                return;
            }
            long wait = Math.max(1, heardMillis + silenceBound() - now());
            gateway.reactor().delayBackground(wait, this::checkSilence);
        }

        private void checkSilence() {
            if (over) {
                return;
            }
            if (now() - heardMillis < silenceBound()) {
                watchSilence();
                return;
            }
            if (!mayGoElsewhere()) {
                return;
            }
            finish(false);
            target.failed(now());
            earlierMayHaveRun = true;
            retry("silent for " + (now() - heardMillis) + " ms");
        }

        private long silenceBound() {
            return lastEvent == null
                    ? Math.max(LEAST_SILENCE_MILLIS, (long) (route.objectiveMillis() * SILENT_OBJECTIVES))
                    : SILENCE_IN_STREAM_MILLIS;
        }

        private boolean mayGoElsewhere() {
            boolean left = sends < route.maximumAttempts() && endMillis - now() > LEAST_REMAINING_MILLIS;
            return left && choose(gateway.leastVersion(service)).isPresent();
        }

        private int urgency() {
            int rank = account != null && account.priority() >= 0 ? account.priority() : route.priority();
            return Math.max(0, Math.min(9, rank));
        }

        @Override
        public boolean onHead(HttpHead received) {
            TargetAnswer read = gateway.dialect().answer(received);
            if (read.requestId() != null && !read.requestId().equals(terms.id())) {
                return false;
            }
            head = received;
            answer = read;
            if (read.weightsVersion() > 0) {
                target.sawVersion(read.weightsVersion());
            }
            return true;
        }

        @Override
        public void onPart(byte[] bytes) {
            heardMillis = now();
            if (!streams()) {
                content.writeBytes(bytes);
                return;
            }
            for (Event event : events.add(bytes)) {
                pass(event);
            }
        }

        private boolean streams() {
            return route.kind().isStream() && answer.status() / 100 == 2;
        }

        private void pass(Event event) {
            if (isRepeated(event)) {
                return;
            }
            firstAnswerCame();
            if (!exchange.hasBegun()) {
                exchange.beginParts(head.withoutConnectionFields());
            }
            exchange.part(event.bytes());
            lastEvent = event.id() != null ? event.id() : lastEvent;
        }

        private boolean isRepeated(Event event) {
            if (lastEvent == null || event.id() == null) {
                return false;
            }
            try {
                return Long.parseLong(event.id()) <= Long.parseLong(lastEvent);
            } catch (NumberFormatException e) {
                return event.id().equals(lastEvent);
            }
        }

        private void firstAnswerCame() {
            if (promptPending) {
                promptPending = false;
                target.promptRead(terms.promptTokens());
                gateway.correction(service.name()).observed(predictedMillis, (double) (now() - beganMillis));
                target.succeeded((now() - beganMillis) / Math.max(LEAST_PREDICTED_MILLIS, predictedMillis));
            }
        }

        @Override
        public void onEnd() {
            if (over) {
                return;
            }
            finish(true);
            if (answer.notRun()) {
                mayHaveRun = earlierMayHaveRun;
                target.full(now(), FULL_TARGET_MILLIS);
                retry("target did not run it: " + answer.status());
                return;
            }
            boolean failed = answer.status() >= 500;
            if (failed) {
                earlierMayHaveRun = true;
                target.failed(now());
                boolean another = route.kind().mayRepeat() && sends < route.maximumAttempts() && !exchange.hasBegun();
                if (another) {
                    retryOrPass();
                    return;
                }
            }
            if (streams()) {
                endStream();
                return;
            }
            if (!failed) {
                target.succeeded((now() - beganMillis) / PLAIN_ANSWER_MILLIS);
            }
            if (exchange.hasBegun()) {
                giveUp("a stream went on with status " + answer.status());
            } else {
                exchange.answer(head.withoutConnectionFields(), content.toByteArray());
            }
        }

        /** Sends the request to another target, or passes the failure on if there is none or no budget. */
        private void retryOrPass() {
            int leastVersion = gateway.leastVersion(service);
            Optional<Choice> other = choose(leastVersion);
            RetryBudget budget = gateway.retryBudget(service.name());
            if (other.isEmpty() || endMillis - now() < LEAST_REMAINING_MILLIS || !budget.tryRetry()) {
                exchange.answer(head.withoutConnectionFields(), content.toByteArray());
                return;
            }
            gateway.log().write(DecisionKind.RETRIED, "request", terms.id(), "reason", "status " + answer.status());
            sendTo(other.get(), leastVersion);
        }

        private void endStream() {
            byte[] rest = events.rest();
            if (!exchange.hasBegun()) {
                exchange.beginParts(head.withoutConnectionFields());
            }
            exchange.part(rest);
            exchange.endParts();
        }

        @Override
        public void onFailure(HopFailure failure) {
            if (over) {
                return;
            }
            finish(false);
            target.failed(now());
            if (failure.isSurelyNotSent()) {
                failedConnections++;
                if (failedConnections >= MOST_FAILED_CONNECTIONS) {
                    giveUp("no connection to " + failedConnections + " targets");
                } else {
                    sendToNext();
                }
                return;
            }
            earlierMayHaveRun = true;
            if (route.kind().mayRepeat()) {
                retry(failure.name());
            } else {
                giveUp(failure.name() + " from " + target.sighting().id());
            }
        }

        void drop() {
            if (!over) {
                finish(false);
            }
        }

        private void finish(boolean whole) {
            over = true;
            target.end();
            if (promptPending) {
                promptPending = false;
                target.promptRead(terms.promptTokens());
            }
            if (connection == null) {
                return;
            }
            if (whole) {
                target.rest(connection);
            } else {
                connection.close();
            }
        }
    }
}

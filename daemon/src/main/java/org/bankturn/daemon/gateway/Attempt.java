package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.bankturn.daemon.gateway.EventSplitter.Event;
import org.bankturn.daemon.http.AnswerListener;
import org.bankturn.daemon.http.HopFailure;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLine;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.settings.Address;
import org.bankturn.routing.HoldReason;
import org.bankturn.routing.NoticeChange;
import org.bankturn.routing.TargetState;
import org.bankturn.routing.TargetTable.Candidate;
import org.bankturn.service.Route;

/**
 * One target's turn at a request: sends it, passes the answer on, and tells the request what came of it.
 *
 * <p>Attempt is confined to its reactor's thread.
 */
final class Attempt implements AnswerListener {
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** What may run only once gets a connection that was used just now: an older one may have been dropped silently. */
    private static final long MOST_REST_UNREPEATABLE_MILLIS = 600;

    private static final int SERVER_ERROR = 500;

    private final ForwardedRequest request;
    private final Gateway gateway;
    private final CallerTerms terms;
    private final Route route;
    private final ServerExchange exchange;
    private final TargetState target;
    private final Candidate choice;
    private final int version;
    private final long beganMillis;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private final EventSplitter events = new EventSplitter();
    private TargetConnection connection;
    private SilenceWatch watch;
    private HttpHead head;
    private TargetAnswer answer;
    private boolean promptPending = true;
    private boolean over;
    private long sentMillis;
    private long firstEventMillis;

    Attempt(ForwardedRequest request, Gateway gateway, Candidate choice, int version) {
        this.request = request;
        this.gateway = gateway;
        this.terms = request.terms();
        this.route = request.route();
        this.exchange = request.exchange();
        this.beganMillis = gateway.clock().millis();
        this.target = choice.target();
        this.choice = choice;
        this.version = version;
    }

    void begin() {
        target.requestStarted(terms.promptTokens(), beganMillis);
        long mostRest = route.kind().mayRepeat() ? Long.MAX_VALUE : MOST_REST_UNREPEATABLE_MILLIS;
        TargetConnection rested = gateway.connections().take(targetId(), now(), mostRest);
        Promise<TargetConnection> connected = rested != null
                ? Promise.of(rested)
                : TargetConnection.connect(
                        gateway.reactor(),
                        gateway.clock(),
                        Address.parse(target.sighting().address()).toSocketAddress(),
                        CONNECT_TIMEOUT_MILLIS);
        connected.whenComplete(this::connected);
    }

    private void connected(TargetConnection opened, Exception failure) {
        if (over) {
            if (opened != null) {
                gateway.connections().keep(targetId(), opened);
            }
            return;
        }
        gateway.crashes().connected(target.sighting(), failure);
        if (failure != null) {
            onFailure(HopFailure.NOT_CONNECTED);
            return;
        }
        if (isHeldBack(opened)) {
            return;
        }
        connection = opened;
        sentMillis = now();
        request.sent();
        if (request.service().engine() != null) {
            gateway.sentToEngine();
        }
        HttpHead sent = gateway.dialect()
                .toTarget(
                        exchange.head(),
                        new Forwarding(
                                request.remainingMillis(),
                                target.sighting().name(),
                                request.accountName(),
                                request.lastEvent(),
                                version,
                                request.urgency()));
        boolean hasBody = exchange.body().length > 0 || !exchange.head().first().equals("GET");
        HttpHead framed = hasBody ? sent.with("Content-Length", Integer.toString(exchange.body().length)) : sent;
        // first the watch: a write that fails at once ends the attempt before send returns
        watch = SilenceWatch.start(gateway, request, choice, connection, this::takeAway);
        connection.send(joined(framed, exchange.body()), exchange.head().first().equals("HEAD"), this);
    }

    /** Gives the request back if the target wants none by now; what it asks for may have come while the connection was made. */
    private boolean isHeldBack(TargetConnection opened) {
        Optional<HoldReason> reason = target.acquire(now());
        if (reason.isEmpty()) {
            return false;
        }
        finish(false);
        gateway.connections().keep(targetId(), opened);
        request.heldBack(target.sighting(), reason.get());
        return true;
    }

    /** Takes a request that may be repeated away from a target, or from a connection, that says nothing for long. */
    private void takeAway() {
        long silentMillis = watch.silentMillis();
        finish(false);
        if (watch.blamesTarget()) {
            targetFailed("silent");
        }
        request.outcomeUnknown();
        request.fellSilent(target.sighting(), "silent for " + silentMillis + " ms");
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
            target.versionObserved(read.weightsVersion());
        }
        if (!read.isMisdirected()) {
            noticed(read);
        }
        return true;
    }

    private void noticed(TargetAnswer read) {
        for (String field : read.unreadable()) {
            gateway.metrics().targetNoticed(ServingMetrics.NOTICE_UNREADABLE);
            noticeLine("unreadable").with(DecisionField.ERROR, field).write();
        }
        for (NoticeChange change : target.applyNotice(read.notice(), read.isSuccess(), sentMillis, now())) {
            gateway.metrics().targetNoticed(change.label());
            noticeLine(change.label())
                    .with(DecisionField.PER_SECOND, target.rateLimit().perSecond())
                    .with(DecisionField.BACK_OFF_MS, read.notice().backOffMillis())
                    .write();
            if (change.affectsRateLimit()) {
                gateway.limitChanged(target);
            }
        }
    }

    private DecisionLine noticeLine(String event) {
        return gateway.log()
                .line(DecisionKind.NOTICE)
                .with(DecisionField.EVENT, event)
                .with(DecisionField.TARGET, targetId())
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.STATUS, answer.status());
    }

    @Override
    public void onPart(byte[] bytes) {
        watch.heard();
        if (!streams()) {
            content.writeBytes(bytes);
            return;
        }
        for (Event event : events.add(bytes)) {
            pass(event);
        }
    }

    private boolean streams() {
        return route.kind().isStream() && answer.isSuccess();
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
        request.passed(event.id());
    }

    private boolean isRepeated(Event event) {
        String last = request.lastEvent();
        if (last == null || event.id() == null) {
            return false;
        }
        try {
            return Long.parseLong(event.id()) <= Long.parseLong(last);
        } catch (NumberFormatException e) {
            return event.id().equals(last);
        }
    }

    private void firstAnswerCame() {
        if (promptPending) {
            promptPending = false;
            target.promptRead(terms.promptTokens());
            gateway.metrics().firstEvent(request.service().name(), now() - exchange.receivedMillis());
            firstEventMillis = now() - beganMillis;
            double predicted = choice.predictedMillis();
            gateway.policy().correction(request.service()).observed(predicted, (double) firstEventMillis);
            gateway.metrics().firstEventPredicted(request.service().name(), predicted, firstEventMillis);
            target.firstEventReceived(predicted, firstEventMillis);
        }
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        boolean cutInEvent = streams() && events.rest().length > 0;
        if (cutInEvent) {
            onFailure(HopFailure.CLOSED);
            return;
        }
        finish(true);
        if (answer.notRun()) {
            target.markFull(now());
            request.notRun();
            request.retry("target did not run it: " + answer.status());
        } else if (answer.status() >= SERVER_ERROR) {
            targetFailed("status " + answer.status());
            request.outcomeUnknown();
            request.failedBy(this);
        } else if (streams()) {
            endStream();
        } else {
            target.responseReceived(now() - beganMillis);
            passAnswer();
        }
    }

    /** Avoids the target for a while and says so. */
    private void targetFailed(String reason) {
        long avoidedMillis = target.requestFailed(now());
        gateway.metrics().targetFailed(request.service().name());
        gateway.log()
                .line(DecisionKind.HEALTH)
                .with(DecisionField.TARGET, targetId())
                .with(DecisionField.REQUEST, terms.id())
                .with(DecisionField.FINGERPRINT, request.fingerprint())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.FAILURES, target.consecutiveFailures())
                .with(DecisionField.AVOIDED_MS, avoidedMillis)
                .write();
    }

    String targetId() {
        return target.sighting().id();
    }

    /** Returns how long the first event was predicted to take. */
    long predictedMillis() {
        return Math.round(choice.predictedMillis());
    }

    /** Returns how long the first event took, 0 if none came. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    int status() {
        return answer.status();
    }

    /** Passes the target's answer on as it is; a stream that has begun cannot take it up. */
    void passAnswer() {
        if (exchange.hasBegun()) {
            request.giveUp("a stream went on with status " + answer.status());
        } else {
            exchange.answer(head.withoutConnectionFields(), content.toByteArray());
            request.answered(answer.status());
        }
    }

    private void endStream() {
        if (!exchange.hasBegun()) {
            exchange.beginParts(head.withoutConnectionFields());
        }
        exchange.endParts();
        request.answered(answer.status());
    }

    @Override
    public void onFailure(HopFailure failure) {
        if (over) {
            return;
        }
        finish(false);
        targetFailed(failure.name());
        if (failure.isSurelyNotSent()) {
            request.notConnected();
            return;
        }
        request.outcomeUnknown();
        request.brokeOff(target.sighting(), failure.name());
    }

    void drop() {
        if (!over) {
            finish(false);
        }
    }

    private void finish(boolean whole) {
        over = true;
        target.requestEnded(beganMillis, now());
        if (promptPending) {
            promptPending = false;
            target.promptRead(terms.promptTokens());
        }
        if (connection == null) {
            return;
        }
        watch.end();
        if (whole) {
            gateway.connections().keep(targetId(), connection);
        } else {
            connection.close();
        }
    }

    private long now() {
        return gateway.clock().millis();
    }

    private static byte[] joined(HttpHead head, byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length + 512);
        bytes.writeBytes(head.encode());
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }
}

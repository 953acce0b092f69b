package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Supplier;
import org.bankturn.crash.InterruptedRequest;
import org.bankturn.crash.SentRequest;
import org.bankturn.daemon.gateway.EventSplitter.Event;
import org.bankturn.daemon.http.BufferBound;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.ResponseListener;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.http.TransportFailure;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLine;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.Candidate;
import org.bankturn.routing.HoldReason;
import org.bankturn.routing.NoticeChange;
import org.bankturn.routing.TargetState;
import org.bankturn.service.EngineModel;
import org.bankturn.service.Route;

/**
 * One attempt at a request: sends it to a target, forwards the response and reports the outcome.
 *
 * <p>Attempt is confined to its reactor's thread.
 */
final class Attempt implements ResponseListener {
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** Idle limit for non-repeatable requests; a connection idle for longer may have been dropped silently. */
    private static final long MAX_IDLE_NOT_REPEATABLE_MILLIS = 600;

    private static final int SERVER_ERROR = 500;

    private final ForwardedRequest request;
    private final Gateway gateway;
    private final RequestMetadata metadata;
    private final Route route;
    private final ServerExchange exchange;
    private final TargetState target;
    private final Candidate choice;
    private final long startedMillis;
    private ResponseBuffer buffer;
    private TargetConnection connection;
    private WitnessConnection witness;
    private StallDetector stallDetector;
    private HttpHead responseHead;
    private ResponseMetadata response;
    private ResponseMatch match;
    private boolean promptPending = true;
    private boolean stallReported;
    private boolean finished;
    private boolean endedAtClose;
    private long sentMillis;
    private long knownIndex;
    private SentRequest sent;
    private Promise<Boolean> outlived = Promise.of(false);
    private long firstEventMillis;
    private long lastEventMillis;

    Attempt(ForwardedRequest request, Gateway gateway, Candidate choice) {
        this.request = request;
        this.gateway = gateway;
        this.metadata = request.metadata();
        this.route = request.route();
        this.exchange = request.exchange();
        this.startedMillis = gateway.clock().millis();
        this.target = choice.target();
        this.choice = choice;
    }

    void start() {
        target.requestStarted(metadata.promptTokens(), startedMillis);
        long maxIdleMillis = route.kind().isRetryable() ? Long.MAX_VALUE : MAX_IDLE_NOT_REPEATABLE_MILLIS;
        TargetConnection idleConnection = gateway.connections().acquire(targetId(), now(), maxIdleMillis);
        Promise<TargetConnection> connected = idleConnection != null
                ? Promise.of(idleConnection)
                : TargetConnection.connect(
                        gateway.reactor(),
                        gateway.clock(),
                        Address.parse(target.sighting().address()).toSocketAddress(),
                        CONNECT_TIMEOUT_MILLIS);
        if (gateway.completenessCheck().needsWitness(target.sighting())) {
            connected.then(this::openWitness).whenComplete(this::onConnected);
        } else {
            connected.whenComplete(this::onConnected);
        }
    }

    private Promise<TargetConnection> openWitness(TargetConnection opened) {
        return gateway.completenessCheck().openWitness(target.sighting()).map(established -> {
            witness = established;
            return opened;
        });
    }

    private void onConnected(TargetConnection opened, Exception failure) {
        if (finished) {
            if (opened != null) {
                gateway.connections().release(targetId(), opened);
            }
            releaseWitness();
            return;
        }
        gateway.crashDetector().runs().onConnectResult(target.sighting(), failure);
        if (failure != null) {
            onFailure(TransportFailure.NOT_CONNECTED);
            return;
        }
        if (isDisallowed(opened) || isHeldBack(opened)) {
            return;
        }
        connection = opened;
        sentMillis = now();
        knownIndex = gateway.publishedIndex();
        request.markSent();
        sent = gateway.crashDetector().runs().onSent(target.sighting(), interrupted(), request.remainingMillis());
        if (request.service().engine() != null) {
            gateway.recordEngineRequest();
        }
        HttpHead forwarded = gateway.dialect()
                .buildTargetRequest(
                        exchange.head(),
                        new ForwardingMetadata(
                                request.remainingMillis(),
                                target.sighting().name(),
                                request.accountName(),
                                request.lastEventId(),
                                request.urgency()));
        boolean hasBody = exchange.body().length > 0 || !exchange.head().first().equals("GET");
        HttpHead framed =
                hasBody ? forwarded.with("Content-Length", Integer.toString(exchange.body().length)) : forwarded;
        // started first: a write that fails immediately finishes the attempt before send returns
        stallDetector = StallDetector.start(
                gateway, request, choice, connection, sent, this::onStalled, this::onOutdatedWeights);
        connection.send(
                concatenate(framed, exchange.body()), exchange.head().first().equals("HEAD"), this);
    }

    /** Hands the request back, and returns true, if a configuration change excluded the target during the connect. */
    private boolean isDisallowed(TargetConnection opened) {
        if (gateway.policy().maySendTo(request.progress(), target)) {
            return false;
        }
        finish(AttemptEnding.DISALLOWED);
        gateway.connections().release(targetId(), opened);
        request.onDisallowed(target.sighting());
        return true;
    }

    /** Hands the request back, and returns true, if the target stopped accepting requests during the connect. */
    private boolean isHeldBack(TargetConnection opened) {
        Optional<HoldReason> reason = target.acquire(now());
        if (reason.isEmpty()) {
            return false;
        }
        finish(AttemptEnding.HELD_BACK);
        gateway.connections().release(targetId(), opened);
        request.onHeldBack(target.sighting(), reason.get());
        return true;
    }

    /** Asks for a further attempt because the target or the connection has stalled; this one goes on. */
    private void onStalled() {
        if (!stallReported) {
            stallReported = true;
            if (stallDetector.blamesTarget()) {
                targetFailed("silent");
            }
        }
        request.onStalled(this, "silent for " + stallDetector.silentMillis() + " ms");
    }

    /** Ends the attempt, since the target would start it with weights that have been replaced. */
    private void onOutdatedWeights() {
        finish(AttemptEnding.OUTDATED_WEIGHTS);
        request.onOutdatedWeights();
    }

    @Override
    public boolean onHead(HttpHead received) {
        ResponseMetadata parsed = gateway.dialect().parseResponse(received);
        match = ResponseMatch.of(parsed, metadata.id(), connection.hasReceivedResponse());
        if (!match.isAccepted()) {
            gateway.recordForeignResponse(match, metadata.id(), targetId(), parsed.status());
            return false;
        }
        responseHead = received;
        response = parsed;
        if (parsed.weightsVersion() > 0) {
            target.versionObserved(parsed.weightsVersion());
        }
        if (!parsed.isMisdirected()) {
            gateway.crashDetector().runs().onData(sent, connection.openedMillis());
            applyNotice(parsed);
        }
        buffer = isStreamed() ? ResponseBuffer.ofStream(gateway.buffers()) : ResponseBuffer.ofBody(gateway.buffers());
        if (connection.responseEndsAtClose()) {
            gateway.completenessCheck().responseBegun(target.sighting());
        }
        if (!isStreamed()) {
            long size = connection.remainingBodyBytes();
            buffer.reserve(size).ifPresent(bound -> onTooLarge(bound, size));
        }
        return true;
    }

    private void applyNotice(ResponseMetadata parsed) {
        for (String field : parsed.unreadableFields()) {
            gateway.metrics().targetNoticeChanged(ServingMetrics.NOTICE_UNREADABLE);
            noticeLine("unreadable").with(DecisionField.ERROR, field).write();
        }
        for (NoticeChange change : target.applyNotice(parsed.notice(), parsed.isSuccess(), sentMillis, now())) {
            gateway.metrics().targetNoticeChanged(change.label());
            noticeLine(change.label())
                    .with(DecisionField.PER_SECOND, target.rateLimit().perSecond())
                    .with(DecisionField.BACK_OFF_MS, parsed.notice().backOffMillis())
                    .write();
            if (change.affectsRateLimit()) {
                gateway.reportRateLimit(target);
            }
        }
    }

    private DecisionLine noticeLine(String event) {
        return gateway.log()
                .line(DecisionKind.NOTICE)
                .with(DecisionField.EVENT, event)
                .with(DecisionField.TARGET, targetId())
                .with(DecisionField.REQUEST, metadata.id())
                .with(DecisionField.STATUS, response.status());
    }

    @Override
    public void onBodyPart(byte[] bytes) {
        stallDetector.onData();
        if (!response.isMisdirected()) {
            gateway.crashDetector().runs().onData(sent, connection.openedMillis());
        }
        request.onData(this);
        if (!isStreamed()) {
            buffer.add(bytes).ifPresent(bound -> onTooLarge(bound, buffer.size() + bytes.length));
            return;
        }
        for (Event event : buffer.addToStream(bytes)) {
            forward(event);
        }
        if (!finished) {
            buffer.reserve(buffer.size()).ifPresent(bound -> onTooLarge(bound, buffer.size()));
        }
    }

    /** Gives the response up, since no more of it may be buffered. */
    private void onTooLarge(BufferBound bound, long size) {
        gateway.recordOversized(buffer.kind(), bound, metadata.id(), targetId(), size);
        onFailure(TransportFailure.TOO_LARGE);
    }

    @Override
    public long maxResponseBytes() {
        return response != null && isStreamed() ? Long.MAX_VALUE : gateway.maxResponseBytes();
    }

    private boolean isStreamed() {
        return route.kind().isStream() && response.isSuccess();
    }

    private void forward(Event event) {
        if (isDuplicate(event)) {
            return;
        }
        recordEventTime();
        request.onDelivered(this);
        if (!exchange.hasStartedResponse()) {
            exchange.startChunkedResponse(responseHead.withoutConnectionFields());
        }
        exchange.writeChunk(event.bytes());
        request.recordEvent(event.id());
    }

    private boolean isDuplicate(Event event) {
        String last = request.lastEventId();
        if (last == null || event.id() == null) {
            return false;
        }
        try {
            return Long.parseLong(event.id()) <= Long.parseLong(last);
        } catch (NumberFormatException e) {
            return event.id().equals(last);
        }
    }

    private void recordEventTime() {
        long gapMillis = now() - lastEventMillis;
        lastEventMillis = now();
        EngineModel engine = request.service().engine();
        if (promptPending) {
            recordFirstEvent();
        } else if (engine != null && target.eventReceived(engine, gapMillis, now())) {
            engineSlowed(gapMillis);
        }
    }

    private void engineSlowed(long gapMillis) {
        gateway.metrics().engineSlowed(request.service().name());
        gateway.log()
                .line(DecisionKind.HEALTH)
                .with(DecisionField.TARGET, targetId())
                .with(DecisionField.REQUEST, metadata.id())
                .with(DecisionField.REASON, "events arrive slowly")
                .with(DecisionField.GAP_MS, gapMillis)
                .write();
    }

    private void recordFirstEvent() {
        promptPending = false;
        target.promptRead(metadata.promptTokens());
        gateway.metrics().firstEvent(request.service().name(), now() - exchange.receivedMillis());
        firstEventMillis = now() - startedMillis;
        double predicted = choice.predictedMillis();
        gateway.policy().correction(request.progress()).observed(predicted, (double) firstEventMillis);
        gateway.metrics().firstEventPredicted(request.service().name(), predicted, firstEventMillis);
        target.firstEventReceived(predicted, firstEventMillis);
    }

    /** Completes the response only if the target has not crashed, since a crash ends its connections in the same way. */
    @Override
    public void onEndOfConnection() {
        endedAtClose = true;
        gateway.completenessCheck()
                .isComplete(target.sighting(), request, witness)
                .whenResult(complete -> {
                    if (complete) {
                        onComplete();
                    } else {
                        onFailure(TransportFailure.CLOSED);
                    }
                });
    }

    @Override
    public void onComplete() {
        if (finished) {
            return;
        }
        boolean endsWithinEvent = isStreamed() && buffer.hasIncompleteEvent();
        if (endsWithinEvent) {
            onFailure(TransportFailure.CLOSED);
            return;
        }
        finish(completeEnding());
        if (response.notRun()) {
            target.markFull(now());
            request.markNotRun(targetId());
            request.retry("target did not run the request: status " + response.status());
        } else if (response.status() >= SERVER_ERROR) {
            targetFailed("status " + response.status());
            request.onFailureResponse(this);
            discardResponse();
        } else if (isStreamed()) {
            endStream();
        } else {
            target.responseReceived(now() - startedMillis);
            forwardResponse();
            discardResponse();
        }
    }

    /** Records a failure of the target, which is then avoided for a while. */
    private void targetFailed(String reason) {
        long avoidedMillis = target.requestFailed(now());
        gateway.metrics().targetFailed(request.service().name());
        gateway.log()
                .line(DecisionKind.HEALTH)
                .with(DecisionField.TARGET, targetId())
                .with(DecisionField.REQUEST, metadata.id())
                .with(DecisionField.FINGERPRINT, request.fingerprint())
                .with(DecisionField.PROMPT_PARTS, metadata.promptParts())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.ERROR, malformation())
                .with(DecisionField.FAILURES, target.consecutiveFailures())
                .with(DecisionField.AVOIDED_MS, avoidedMillis)
                .write();
    }

    /** Returns what is wrong with a malformed response, empty if it is not malformed. */
    private String malformation() {
        return connection == null ? "" : connection.malformation().orElse("");
    }

    TargetSighting sighting() {
        return target.sighting();
    }

    String targetId() {
        return target.sighting().id();
    }

    /** Returns what a crash of the target interrupts; the fingerprint is computed when it is needed. */
    private Supplier<InterruptedRequest> interrupted() {
        int heldVersion = target.heldVersion();
        return () -> new InterruptedRequest(
                request.fingerprint(), metadata.promptParts().shared(), heldVersion, knownIndex);
    }

    /** Returns a promise of true if the response was complete and the target has not crashed after it, not null. */
    Promise<Boolean> outlived() {
        return outlived;
    }

    /** Returns the version of the weights that serves the response, -1 if the target needs none. */
    int weightsVersion() {
        return response.weightsVersion() > 0 ? response.weightsVersion() : target.heldVersion();
    }

    /** Returns the index of the published state that was known when the request was sent. */
    long knownIndex() {
        return knownIndex;
    }

    /** Returns when the request was sent. */
    long sentMillis() {
        return sentMillis;
    }

    /** Returns the predicted time to the first event, in milliseconds. */
    long predictedMillis() {
        return Math.round(choice.predictedMillis());
    }

    /** Returns the time to the first event, in milliseconds, 0 if there was none. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    /** Returns true if only the end of the connection delimited the response. */
    boolean endedAtClose() {
        return endedAtClose;
    }

    int status() {
        return response.status();
    }

    /** Forwards the response unchanged; if part of a stream was already forwarded, the request is retried. */
    void forwardResponse() {
        if (exchange.hasStartedResponse()) {
            request.retry("resumed stream failed with status " + response.status());
        } else {
            request.onDelivered(this);
            exchange.respond(responseHead.withoutConnectionFields(), buffer.body());
            request.onAnswered(response.status());
        }
    }

    private void endStream() {
        request.onDelivered(this);
        if (!exchange.hasStartedResponse()) {
            exchange.startChunkedResponse(responseHead.withoutConnectionFields());
        }
        exchange.endChunkedResponse();
        request.onAnswered(response.status());
    }

    @Override
    public void onFailure(TransportFailure failure) {
        if (finished) {
            return;
        }
        finish(AttemptEnding.of(failure));
        targetFailed(failure.name());
        if (failure.isDefinitelyUnsent()) {
            request.onConnectFailure();
            return;
        }
        if (failure == TransportFailure.TOO_LARGE) {
            request.onResponseTooLarge(this);
        } else {
            request.onConnectionLost(this, failure.name());
        }
    }

    /** Ends the attempt if it is in progress. */
    void cancel(AttemptEnding ending) {
        if (!finished) {
            finish(ending);
        }
    }

    private AttemptEnding completeEnding() {
        if (response.notRun()) {
            return AttemptEnding.NOT_RUN;
        }
        return response.status() >= SERVER_ERROR ? AttemptEnding.ERROR_STATUS : AttemptEnding.ANSWERED;
    }

    private AttemptSummary summarize(AttemptEnding ending) {
        boolean sent = stallDetector != null;
        return new AttemptSummary(
                ending,
                response == null ? 0 : response.status(),
                targetId(),
                now() - startedMillis,
                sent ? stallDetector.silentMillis() : 0,
                sent ? stallDetector.silenceLimitMillis() : 0);
    }

    private void finish(AttemptEnding ending) {
        finished = true;
        if (sent != null) {
            outlived = gateway.crashDetector().runs().onEnded(sent, ending.runEnd());
        }
        request.recordAttempt(summarize(ending));
        request.onAttemptEnded(this);
        target.requestEnded(startedMillis, now());
        if (promptPending) {
            promptPending = false;
            target.promptRead(metadata.promptTokens());
        }
        releaseWitness();
        if (buffer != null) {
            buffer.release();
        }
        if (connection == null) {
            return;
        }
        stallDetector.stop();
        if (ending.allowsReuse() && match.allowsReuse()) {
            gateway.connections().release(targetId(), connection);
        } else {
            connection.close();
        }
        if (!ending.isResponseComplete()) {
            discardResponse();
        }
    }

    /** Frees the memory of a response that is not used any more; the request may refer to this attempt for longer. */
    private void discardResponse() {
        if (buffer != null) {
            buffer.clear();
        }
    }

    private void releaseWitness() {
        if (witness != null) {
            witness.release();
        }
    }

    private long now() {
        return gateway.clock().millis();
    }

    private static byte[] concatenate(HttpHead head, byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length + 512);
        bytes.writeBytes(head.encode());
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }
}

package org.bankturn.daemon.gateway;

import org.bankturn.daemon.http.BufferBound;
import org.bankturn.daemon.http.BufferKind;
import org.bankturn.daemon.http.DisconnectCause;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.InterruptionListener;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLine;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;

/** Logs and counts callers' requests that were not received completely and responses that were not delivered. */
final class InterruptionReporter implements InterruptionListener {
    private final RequestDialect dialect;
    private final DecisionLog log;
    private final ServingMetrics metrics;

    InterruptionReporter(RequestDialect dialect, DecisionLog log, ServingMetrics metrics) {
        this.dialect = dialect;
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void requestIncomplete(HttpHead request, int bodyBytes, DisconnectCause cause) {
        metrics.callerInterrupted(ServingMetrics.REQUEST_INCOMPLETE, cause.label());
        line(DecisionKind.INTERRUPTED, request)
                .with(DecisionField.EVENT, ServingMetrics.REQUEST_INCOMPLETE)
                .with(DecisionField.DISCONNECT, cause.label())
                .with(DecisionField.BODY_BYTES, bodyBytes)
                .write();
    }

    @Override
    public void requestRejected(HttpHead request, int bodyBytes, int status) {
        line(DecisionKind.REFUSED, request)
                .with(DecisionField.STATUS, status)
                .with(DecisionField.REASON, "not a request within the limits")
                .with(DecisionField.BODY_BYTES, bodyBytes)
                .write();
    }

    @Override
    public void requestTooLarge(HttpHead request, long bytes, BufferBound bound) {
        metrics.messageTooLarge(BufferKind.REQUEST.label(), bound.label());
        line(DecisionKind.OVERSIZED, request)
                .with(DecisionField.MESSAGE, BufferKind.REQUEST.label())
                .with(DecisionField.BOUND, bound.label())
                .with(DecisionField.BYTES, bytes)
                .write();
    }

    @Override
    public void responseUndelivered(HttpHead request, long unsentBytes, DisconnectCause cause) {
        metrics.callerInterrupted(ServingMetrics.RESPONSE_UNDELIVERED, cause.label());
        line(DecisionKind.INTERRUPTED, request)
                .with(DecisionField.EVENT, ServingMetrics.RESPONSE_UNDELIVERED)
                .with(DecisionField.DISCONNECT, cause.label())
                .with(DecisionField.UNSENT_BYTES, unsentBytes)
                .write();
    }

    @Override
    public void readerTooSlow(long queuedBytes, long totalBytes, long unreadMillis) {
        metrics.slowReaderClosed();
        log.line(DecisionKind.INTERRUPTED)
                .with(DecisionField.EVENT, "slow reader closed")
                .with(DecisionField.UNSENT_BYTES, queuedBytes)
                .with(DecisionField.TOTAL_UNSENT_BYTES, totalBytes)
                .with(DecisionField.SILENT_MS, unreadMillis)
                .write();
    }

    private DecisionLine line(DecisionKind kind, HttpHead request) {
        DecisionLine line = log.line(kind);
        return request == null
                ? line
                : line.with(DecisionField.REQUEST, dialect.parseRequest(request).id());
    }
}

package org.bankturn.daemon.gateway;

import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLine;
import org.bankturn.routing.RequestProgress;

/** The lines that the decision log holds about one request: how it went on, how it ended, and under which circumstances. */
final class RequestLines {
    private final Gateway gateway;
    private final ForwardedRequest request;
    private final AttemptHistory endedAttempts = new AttemptHistory();

    RequestLines(Gateway gateway, ForwardedRequest request) {
        this.gateway = gateway;
        this.request = request;
    }

    /** Adds the ending of an attempt to the circumstances. */
    void attemptEnded(AttemptSummary summary) {
        endedAttempts.add(summary);
    }

    /** Begins a line of the request with its progress, not null. */
    DecisionLine begin(DecisionKind kind, String reason) {
        return gateway.log()
                .line(kind)
                .with(DecisionField.REQUEST, request.metadata().id())
                .with(DecisionField.REASON, reason)
                .with(DecisionField.SENDS, progress().sends())
                .with(DecisionField.HELD_BACK, gateway.policy().heldBackTargets(progress()));
    }

    /**
     * Begins the line of an outcome.
     *
     * @param kind the kind of the line, not null
     * @param status the status of the response, 0 if there is none
     * @param reason the reason for the outcome, not null
     * @param last the attempt that was started last, or delivered the response, null if there was none
     */
    DecisionLine beginOutcome(DecisionKind kind, int status, String reason, Attempt last) {
        return begin(kind, reason)
                .with(DecisionField.ROUTE, request.route().name())
                .with(DecisionField.STATUS, status)
                .with(DecisionField.MAY_HAVE_RUN, progress().mayHaveRun())
                .with(DecisionField.VERSION, gateway.policy().minVersion(request.service()))
                .with(DecisionField.PREDICTED_MS, last == null ? 0 : last.predictedMillis())
                .with(DecisionField.FIRST_EVENT_MS, last == null ? 0 : last.firstEventMillis())
                .with(DecisionField.HELD_MS, request.heldMillis());
    }

    /** Adds the size of the request, its progress and the endings of its attempts to a line. */
    DecisionLine addCircumstances(DecisionLine line, int eventsForwarded) {
        if (progress().sends() > 0) {
            line.with(DecisionField.FINGERPRINT, request.fingerprint());
        }
        line.with(DecisionField.PROMPT_TOKENS, request.metadata().promptTokens())
                .with(DecisionField.PROMPT_PARTS, request.metadata().promptParts())
                .with(DecisionField.BODY_BYTES, request.exchange().bodyLength())
                .with(DecisionField.EVENTS, eventsForwarded)
                .with(DecisionField.DEADLINE_MS, request.timeoutMillis())
                .with(DecisionField.REMAINING_MS, request.remainingMillis());
        endedAttempts
                .last()
                .ifPresent(last -> line.with(DecisionField.TARGET, last.targetId())
                        .with(DecisionField.SILENT_MS, last.silentMillis())
                        .with(DecisionField.SILENCE_LIMIT_MS, last.silenceLimitMillis())
                        .with(DecisionField.ATTEMPTS, endedAttempts));
        return line;
    }

    private RequestProgress progress() {
        return request.progress();
    }
}

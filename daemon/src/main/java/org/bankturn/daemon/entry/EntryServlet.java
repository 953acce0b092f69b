package org.bankturn.daemon.entry;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.opentelemetry.api.trace.Span;
import java.util.function.BooleanSupplier;
import org.bankturn.admission.AdmissionDecision;
import org.bankturn.admission.FairAdmission;
import org.bankturn.configuration.ClientAccount;
import org.bankturn.configuration.Configuration;
import org.bankturn.daemon.Answers;
import org.bankturn.daemon.BackendClient;
import org.bankturn.daemon.BankturnHeaders;
import org.bankturn.ledger.ClaimResult;
import org.bankturn.ledger.RecordedResponse;
import org.bankturn.result.ResultCode;
import org.bankturn.routing.AttemptOutcome;
import org.bankturn.state.command.CommandResult;

/**
 * Serves callers' requests on one worker thread: reads and admits a request, claims its idempotency key if it has one,
 * dispatches it and streams the response back.
 *
 * <p>A request that cannot be completed receives its final response immediately.
 *
 * <p>EntryServlet is confined to its reactor's thread.
 */
final class EntryServlet implements AsyncServlet {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int MAX_KEYED_RESPONSE_BYTES = 4 << 20;
    private static final long RETRY_AFTER_MILLIS = 200;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final EntryState state;
    private final Dispatcher dispatcher;
    private final KeyedRequests keyed;
    private final BooleanSupplier stopped;

    /** An admitted request, until the end of its response. */
    private final class AdmittedRequest {
        private final CallerRequest request;
        private final Span span;
        private final long startMillis = state.clock().millis();
        private boolean ended;

        AdmittedRequest(CallerRequest request, Span span) {
            this.request = request;
            this.span = span;
        }

        void end(int result) {
            if (ended) {
                return;
            }
            ended = true;
            state.admission().complete(request.account().name(), state.clock().millis() - startMillis);
            state.telemetry().requestEnded(request.service().name(), result);
            state.telemetry().setInFlight(state.admission().running());
            span.end();
        }

        HttpResponse endWith(ResultCode code, String detail, long retryAfterMillis) {
            end(code.number());
            return Answers.of(code, detail, retryAfterMillis);
        }
    }

    EntryServlet(EntryState state, Dispatcher dispatcher, KeyedRequests keyed, BooleanSupplier stopped) {
        this.state = state;
        this.dispatcher = dispatcher;
        this.keyed = keyed;
        this.stopped = stopped;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        if (stopped.getAsBoolean()) {
            return Answers.of(ResultCode.NOT_RUN_LEAVING, "", RETRY_AFTER_MILLIS)
                    .toPromise();
        }
        return request.loadBody(MAX_BODY_BYTES).then(body -> {
            Configuration configuration = state.holder().get();
            try {
                CallerRequest read = CallerRequestReader.read(
                        request,
                        body.getArray(),
                        configuration,
                        state.clock().millis(),
                        state.settings().defaultDeadlineMillis());
                return admit(read, configuration, request.getHeader(BankturnHeaders.TRACEPARENT));
            } catch (RefusedException refused) {
                return reject(refused).toPromise();
            }
        });
    }

    private HttpResponse reject(RefusedException refused) {
        ResultCode code = refused.proof().code();
        state.telemetry().requestEnded("", code.number());
        return Answers.of(code, refused.getMessage(), refused.retryAfterMillis());
    }

    private Promise<HttpResponse> admit(CallerRequest request, Configuration configuration, String traceparent)
            throws RefusedException {
        if (!request.account().allowsDataHall(state.dataHall())) {
            throw new RefusedException(ResultCode.NOT_RUN_RESIDENCY, state.dataHall(), 0);
        }
        AdmissionDecision decision = state.admission().decide(candidate(request, configuration));
        if (decision instanceof AdmissionDecision.Refused refused) {
            throw new RefusedException(refused.code(), "", refused.retryAfterMillis());
        }
        state.retryBudget().recordRequest();
        AdmittedRequest admitted =
                new AdmittedRequest(request, state.telemetry().startServerSpan("entry", traceparent));
        return request.hasKey() ? claimAndRun(admitted) : run(admitted);
    }

    private FairAdmission.Candidate candidate(CallerRequest request, Configuration configuration) {
        long totalWeight = configuration.clientAccounts().stream()
                .mapToLong(ClientAccount::weight)
                .sum();
        long boxes = configuration.usableBoxes(request.service().name()).entrySet().stream()
                .filter(hall -> request.account().allowsDataHall(hall.getKey()))
                .mapToLong(hall -> hall.getValue().size())
                .sum();
        int capacity = (int) Math.max(1, boxes * request.service().requestsAtOnce());
        long remaining = request.deadlineMillis() - state.clock().millis();
        return new FairAdmission.Candidate(
                request.account().name(), request.account().weight(), totalWeight, capacity, remaining);
    }

    private Promise<HttpResponse> run(AdmittedRequest admitted) {
        return dispatcher.dispatch(admitted.request, admitted.span).map(outcome -> {
            if (outcome instanceof AttemptOutcome.Answered<Dispatcher.StartedResponse> answered) {
                return stream(admitted, answered.answer());
            }
            return failureResponse(admitted, outcome);
        });
    }

    /** Streams the response to the caller; if the target's stream fails, the caller's is aborted too. */
    private HttpResponse stream(AdmittedRequest admitted, Dispatcher.StartedResponse started) {
        recordFirstByte(admitted);
        ChannelSupplier<ByteBuf> body = started.response()
                .takeBodyStream()
                .withEndOfStream(end -> end.whenComplete((nothing, failure) -> {
                    started.load().requestEnded();
                    ResultCode code = failure == null ? ResultCode.REQUEST_ANSWERED : ResultCode.OUTCOME_UNKNOWN;
                    admitted.end(code.number());
                }));
        return responseFrom(started, body);
    }

    private static HttpResponse responseFrom(Dispatcher.StartedResponse started, ChannelSupplier<ByteBuf> body) {
        HttpResponse.Builder builder = BackendClient.passOn(started.response(), body);
        String version = started.response().getHeader(BankturnHeaders.VERSION);
        if (version != null) {
            builder.withHeader(BankturnHeaders.VERSION, version);
        }
        return builder.build();
    }

    private HttpResponse failureResponse(AdmittedRequest admitted, AttemptOutcome<Dispatcher.StartedResponse> outcome) {
        if (outcome instanceof AttemptOutcome.NotRun<Dispatcher.StartedResponse> notRun) {
            return admitted.endWith(notRun.proof().code(), "", RETRY_AFTER_MILLIS);
        }
        return admitted.endWith(ResultCode.OUTCOME_UNKNOWN, "", RETRY_AFTER_MILLIS);
    }

    private void recordFirstByte(AdmittedRequest admitted) {
        long elapsedMillis = state.clock().millis() - admitted.startMillis;
        state.telemetry().firstByteReceived(admitted.request.service().name(), elapsedMillis / MILLIS_PER_SECOND);
    }

    private Promise<HttpResponse> claimAndRun(AdmittedRequest admitted) {
        String attempt = keyed.newAttempt();
        return keyed.claim(admitted.request, attempt).then(result -> {
            if (!(result instanceof CommandResult.ClaimDecision claim)) {
                keyed.releaseInBackground(admitted.request, attempt);
                return admitted.endWith(ResultCode.NOT_RUN_NO_CLAIM, "", RETRY_AFTER_MILLIS)
                        .toPromise();
            }
            return claim.result() instanceof ClaimResult.Granted
                    ? runClaimed(admitted, attempt)
                    : responseFromClaim(admitted, claim.result()).toPromise();
        });
    }

    private HttpResponse responseFromClaim(AdmittedRequest admitted, ClaimResult result) {
        if (result instanceof ClaimResult.Answered answered) {
            admitted.end(ResultCode.REQUEST_ANSWERED.number());
            return responseFrom(answered.answer());
        }
        if (result instanceof ClaimResult.Running running) {
            long retryAfterMillis = Math.min(running.remainingMillis(), RETRY_AFTER_MILLIS);
            return admitted.endWith(ResultCode.IN_PROGRESS, "", retryAfterMillis);
        }
        if (result instanceof ClaimResult.KeyReused) {
            return admitted.endWith(ResultCode.NOT_RUN_KEY_REUSED, "", 0);
        }
        return admitted.endWith(ResultCode.OUTCOME_UNKNOWN, "It will not run under this key again.", 0);
    }

    private Promise<HttpResponse> runClaimed(AdmittedRequest admitted, String attempt) {
        return dispatcher.dispatch(admitted.request, admitted.span).then(outcome -> {
            if (outcome instanceof AttemptOutcome.Answered<Dispatcher.StartedResponse> answered) {
                return recordAndRespond(admitted, attempt, answered.answer());
            }
            Promise<Void> settled = outcome instanceof AttemptOutcome.NotRun
                    ? keyed.release(admitted.request, attempt)
                    : keyed.record(admitted.request, attempt, null);
            return settled.map(nothing -> failureResponse(admitted, outcome));
        });
    }

    private Promise<HttpResponse> recordAndRespond(
            AdmittedRequest admitted, String attempt, Dispatcher.StartedResponse started) {
        recordFirstByte(admitted);
        HttpResponse response = started.response();
        return response.loadBody(MAX_KEYED_RESPONSE_BYTES)
                .whenComplete(started.load()::requestEnded)
                .then(
                        body -> {
                            RecordedResponse answer = new RecordedResponse(
                                    response.getCode(), response.getHeader(HttpHeaders.CONTENT_TYPE), body.getArray());
                            return keyed.record(admitted.request, attempt, storableOrNull(answer))
                                    .map(nothing -> {
                                        admitted.end(ResultCode.REQUEST_ANSWERED.number());
                                        return responseFrom(answer);
                                    });
                        },
                        failure -> keyed.record(admitted.request, attempt, null)
                                .map(nothing -> admitted.endWith(ResultCode.OUTCOME_UNKNOWN, "", 0)));
    }

    /** Returns null for a response too large to store, so that a retry never receives a truncated one. */
    private static RecordedResponse storableOrNull(RecordedResponse answer) {
        return answer.body().length <= RecordedResponse.MAXIMUM_BODY_BYTES ? answer : null;
    }

    private static HttpResponse responseFrom(RecordedResponse answer) {
        HttpResponse.Builder builder = HttpResponse.ofCode(answer.status());
        if (answer.contentType() != null) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, answer.contentType());
        }
        return builder.withBody(answer.body()).build();
    }
}

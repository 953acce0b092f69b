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
 * Takes callers' requests on one worker thread: reads, admits, claims if keyed, dispatches, streams the answer back.
 *
 * <p>A request that is given up on gets its final answer at once.
 *
 * <p>EntryServlet is confined to its reactor's thread.
 */
final class EntryServlet implements AsyncServlet {
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;
    private static final int MAXIMUM_KEYED_ANSWER_BYTES = 4 << 20;
    private static final long COME_BACK_MILLIS = 200;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final EntryState state;
    private final Dispatcher dispatcher;
    private final KeyedRequests keyed;
    private final BooleanSupplier stopped;

    /** One request on its way through, from admission to the end of its answer. */
    private final class Passage {
        private final CallerRequest request;
        private final Span span;
        private final long startMillis = state.clock().millis();
        private boolean ended;

        Passage(CallerRequest request, Span span) {
            this.request = request;
            this.span = span;
        }

        void end(int result) {
            if (ended) {
                return;
            }
            ended = true;
            state.admission().ended(request.account().name(), state.clock().millis() - startMillis);
            state.telemetry().requestEnded(request.service().name(), result);
            state.telemetry().inFlight(state.admission().running());
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
            return Answers.of(ResultCode.NOT_RUN_LEAVING, "", COME_BACK_MILLIS).toPromise();
        }
        return request.loadBody(MAXIMUM_BODY_BYTES).then(body -> {
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
                return refuse(refused).toPromise();
            }
        });
    }

    private HttpResponse refuse(RefusedException refused) {
        ResultCode code = refused.proof().code();
        state.telemetry().requestEnded("", code.number());
        return Answers.of(code, refused.getMessage(), refused.retryAfterMillis());
    }

    private Promise<HttpResponse> admit(CallerRequest request, Configuration configuration, String traceparent)
            throws RefusedException {
        if (!request.account().mayLiveIn(state.dataHall())) {
            throw new RefusedException(ResultCode.NOT_RUN_RESIDENCY, state.dataHall(), 0);
        }
        AdmissionDecision decision = state.admission().decide(candidate(request, configuration));
        if (decision instanceof AdmissionDecision.Refused refused) {
            throw new RefusedException(refused.code(), "", refused.retryAfterMillis());
        }
        state.retryBudget().recordRequest();
        Passage passage = new Passage(request, state.telemetry().startHop("entry", traceparent));
        return request.hasKey() ? claimThenRun(passage) : run(passage);
    }

    private FairAdmission.Candidate candidate(CallerRequest request, Configuration configuration) {
        long weightOfAll = configuration.clientAccounts().stream()
                .mapToLong(ClientAccount::weight)
                .sum();
        long boxes = configuration.usableBoxes(request.service().name()).entrySet().stream()
                .filter(hall -> request.account().mayLiveIn(hall.getKey()))
                .mapToLong(hall -> hall.getValue().size())
                .sum();
        int capacity = (int) Math.max(1, boxes * request.service().requestsAtOnce());
        long remaining = request.deadlineMillis() - state.clock().millis();
        return new FairAdmission.Candidate(
                request.account().name(), request.account().weight(), weightOfAll, capacity, remaining);
    }

    // ---- requests without a key

    private Promise<HttpResponse> run(Passage passage) {
        return dispatcher.dispatch(passage.request, passage.span).map(outcome -> {
            if (outcome instanceof AttemptOutcome.Answered<Dispatcher.StartedResponse> answered) {
                return stream(passage, answered.answer());
            }
            return giveUp(passage, outcome);
        });
    }

    /** Streams the answer through; if the target's stream breaks off, so does the caller's, and it is seen as cut. */
    private HttpResponse stream(Passage passage, Dispatcher.StartedResponse begun) {
        noteFirstByte(passage);
        ChannelSupplier<ByteBuf> body = begun.response()
                .takeBodyStream()
                .withEndOfStream(end -> end.whenComplete((nothing, failure) -> {
                    begun.load().requestEnded();
                    ResultCode code = failure == null ? ResultCode.REQUEST_ANSWERED : ResultCode.OUTCOME_UNKNOWN;
                    passage.end(code.number());
                }));
        return answerFrom(begun, body);
    }

    private static HttpResponse answerFrom(Dispatcher.StartedResponse begun, ChannelSupplier<ByteBuf> body) {
        HttpResponse.Builder builder = BackendClient.passOn(begun.response(), body);
        String version = begun.response().getHeader(BankturnHeaders.VERSION);
        if (version != null) {
            builder.withHeader(BankturnHeaders.VERSION, version);
        }
        return builder.build();
    }

    private HttpResponse giveUp(Passage passage, AttemptOutcome<Dispatcher.StartedResponse> outcome) {
        if (outcome instanceof AttemptOutcome.NotRun<Dispatcher.StartedResponse> notRun) {
            return passage.endWith(notRun.proof().code(), "", COME_BACK_MILLIS);
        }
        return passage.endWith(ResultCode.OUTCOME_UNKNOWN, "", COME_BACK_MILLIS);
    }

    private void noteFirstByte(Passage passage) {
        long took = state.clock().millis() - passage.startMillis;
        state.telemetry().firstByte(passage.request.service().name(), took / MILLIS_PER_SECOND);
    }

    // ---- requests with a key

    private Promise<HttpResponse> claimThenRun(Passage passage) {
        String attempt = keyed.newAttempt();
        return keyed.claim(passage.request, attempt).then(result -> {
            if (!(result instanceof CommandResult.ClaimDecision claim)) {
                keyed.releaseInBackground(passage.request, attempt);
                return passage.endWith(ResultCode.NOT_RUN_NO_CLAIM, "", COME_BACK_MILLIS)
                        .toPromise();
            }
            return claim.result() instanceof ClaimResult.Granted
                    ? runClaimed(passage, attempt)
                    : answerFromClaim(passage, claim.result()).toPromise();
        });
    }

    private HttpResponse answerFromClaim(Passage passage, ClaimResult result) {
        if (result instanceof ClaimResult.Answered answered) {
            passage.end(ResultCode.REQUEST_ANSWERED.number());
            return answerFrom(answered.answer());
        }
        if (result instanceof ClaimResult.Running running) {
            long comeBack = Math.min(running.remainingMillis(), COME_BACK_MILLIS);
            return passage.endWith(ResultCode.IN_PROGRESS, "", comeBack);
        }
        if (result instanceof ClaimResult.KeyReused) {
            return passage.endWith(ResultCode.NOT_RUN_KEY_REUSED, "", 0);
        }
        return passage.endWith(ResultCode.OUTCOME_UNKNOWN, "It will not run under this key again.", 0);
    }

    private Promise<HttpResponse> runClaimed(Passage passage, String attempt) {
        return dispatcher.dispatch(passage.request, passage.span).then(outcome -> {
            if (outcome instanceof AttemptOutcome.Answered<Dispatcher.StartedResponse> answered) {
                return recordThenAnswer(passage, attempt, answered.answer());
            }
            Promise<Void> settled = outcome instanceof AttemptOutcome.NotRun
                    ? keyed.release(passage.request, attempt)
                    : keyed.record(passage.request, attempt, null);
            return settled.map(nothing -> giveUp(passage, outcome));
        });
    }

    private Promise<HttpResponse> recordThenAnswer(Passage passage, String attempt, Dispatcher.StartedResponse begun) {
        noteFirstByte(passage);
        HttpResponse response = begun.response();
        return response.loadBody(MAXIMUM_KEYED_ANSWER_BYTES)
                .whenComplete(begun.load()::requestEnded)
                .then(
                        body -> {
                            RecordedResponse answer = new RecordedResponse(
                                    response.getCode(), response.getHeader(HttpHeaders.CONTENT_TYPE), body.getArray());
                            return keyed.record(passage.request, attempt, ifKept(answer))
                                    .map(nothing -> {
                                        passage.end(ResultCode.REQUEST_ANSWERED.number());
                                        return answerFrom(answer);
                                    });
                        },
                        failure -> keyed.record(passage.request, attempt, null)
                                .map(nothing -> passage.endWith(ResultCode.OUTCOME_UNKNOWN, "", 0)));
    }

    /** An answer too large to keep is recorded as not known: a retry must never get a short one. */
    private static RecordedResponse ifKept(RecordedResponse answer) {
        return answer.body().length <= RecordedResponse.MAXIMUM_BODY_BYTES ? answer : null;
    }

    private static HttpResponse answerFrom(RecordedResponse answer) {
        HttpResponse.Builder builder = HttpResponse.ofCode(answer.status());
        if (answer.contentType() != null) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, answer.contentType());
        }
        return builder.withBody(answer.body()).build();
    }
}

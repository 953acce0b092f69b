package org.bankturn.daemon.entry;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.opentelemetry.api.trace.Span;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.configuration.Box;
import org.bankturn.daemon.BackendClient;
import org.bankturn.daemon.BankturnHeaders;
import org.bankturn.result.ResultCode;
import org.bankturn.routing.AttemptOutcome;
import org.bankturn.routing.Balancer;
import org.bankturn.routing.NotRunProof;
import org.bankturn.routing.TargetLoad;
import org.bankturn.routing.TargetSelector;

/**
 * Sends a request to a target, and retries on other targets while the safety of the request, its deadline and the retry
 * budget allow.
 *
 * <p>Dispatcher is confined to its reactor's thread; the state it shares with other threads is thread-safe.
 */
final class Dispatcher {
    private static final long NANOS_PER_MICRO = TimeUnit.MICROSECONDS.toNanos(1);

    private final EntryState state;
    private final BackendClient client;
    private final UniformRandomProvider random;

    /**
     * A response whose headers have been received from a target.
     *
     * @param box the box of the target, not null
     * @param response the response, with its body as a stream, not null
     * @param load the load of the target, which counts the request until its response has ended, not null
     */
    record StartedResponse(Box box, HttpResponse response, TargetLoad load) {}

    private record Attempt(CallerRequest request, TargetSelector selector, Set<String> tried, Span span) {}

    Dispatcher(EntryState state, BackendClient client, UniformRandomProvider random) {
        this.state = state;
        this.client = client;
        this.random = random;
    }

    /** Dispatches the request; completes with the outcome of the last attempt. */
    Promise<AttemptOutcome<StartedResponse>> dispatch(CallerRequest request, Span span) {
        TargetSelector selector = TargetSelector.of(state.holder().get(), state.targets(), state.dataHall());
        return tryNext(new Attempt(request, selector, new HashSet<>(), span), null);
    }

    private Promise<AttemptOutcome<StartedResponse>> tryNext(Attempt attempt, AttemptOutcome<StartedResponse> last) {
        CallerRequest request = attempt.request();
        List<Box> candidates = attempt.selector().candidates(request.service(), request.account(), attempt.tried());
        Optional<Box> chosen = Balancer.choose(candidates, box -> state.loadOf(box.name()), random);
        if (chosen.isEmpty()) {
            return Promise.of(last != null ? last : notRun(ResultCode.NOT_RUN_NO_TARGET));
        }
        if (state.clock().millis() >= request.deadlineMillis()) {
            return Promise.of(last != null ? last : notRun(ResultCode.NOT_RUN_DEADLINE));
        }
        if (last != null && !state.retryBudget().tryRetry()) {
            return Promise.of(last);
        }
        if (last != null) {
            state.telemetry().retried();
        }
        Box box = chosen.get();
        attempt.tried().add(box.name());
        return send(attempt, box).then(outcome -> {
            boolean retryable = outcome.mayTryAnother(request.safeToRepeat());
            return retryable ? tryNext(attempt, outcome) : Promise.of(outcome);
        });
    }

    private Promise<AttemptOutcome<StartedResponse>> send(Attempt attempt, Box box) {
        TargetLoad load = state.loadOf(box.name());
        load.requestStarted();
        long startNanos = System.nanoTime();
        long remainingMillis =
                Math.max(1, attempt.request().deadlineMillis() - state.clock().millis());
        BackendClient.Exchange exchange = client.send(requestTo(box, attempt));
        return Promises.timeout(remainingMillis, exchange.response())
                .map(response -> responseStarted(box, response, load, startNanos), failure -> {
                    load.requestEnded();
                    state.targets().recordFailure(box.name());
                    return exchange.witness().neverConnected()
                            ? new AttemptOutcome.NotRun<StartedResponse>(NotRunProof.neverConnected())
                            : new AttemptOutcome.Unknown<StartedResponse>(String.valueOf(failure.getMessage()));
                });
    }

    private AttemptOutcome<StartedResponse> responseStarted(
            Box box, HttpResponse response, TargetLoad load, long startNanos) {
        Optional<ResultCode> rejected = rejection(response);
        if (rejected.isPresent()) {
            load.requestEnded();
            if (rejected.get() == ResultCode.NOT_RUN_LEAVING) {
                state.targets().recordLeavingRefusal(box.name());
            }
            return rejected.get().isNotRun()
                    ? new AttemptOutcome.NotRun<>(NotRunProof.rejectedByTargetProcess(rejected.get()))
                    : new AttemptOutcome.Unknown<>(rejected.get().description());
        }
        load.recordLatency((System.nanoTime() - startNanos) / NANOS_PER_MICRO);
        return new AttemptOutcome.Answered<>(new StartedResponse(box, response, load));
    }

    /** Returns the target's rejection. The target process strips this header from responses of its engine. */
    private static Optional<ResultCode> rejection(HttpResponse response) {
        String result = response.getHeader(BankturnHeaders.RESULT);
        return result == null ? Optional.empty() : ResultCode.ofNumber(Integer.parseInt(result));
    }

    private HttpRequest requestTo(Box box, Attempt attempt) {
        CallerRequest request = attempt.request();
        HttpRequest.Builder builder = HttpRequest.builder(
                        request.method(), "http://" + box.httpAddress() + request.pathAndQuery())
                .withHeader(BankturnHeaders.ACCOUNT, request.account().name())
                .withHeader(BankturnHeaders.ATTEMPT, UUID.randomUUID().toString())
                .withHeader(BankturnHeaders.PRIORITY, Integer.toString(request.priority()))
                .withHeader(BankturnHeaders.TRACEPARENT, state.telemetry().traceparentOf(attempt.span()));
        if (request.contentType() != null) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, request.contentType());
        }
        if (request.accept() != null) {
            builder.withHeader(HttpHeaders.ACCEPT, request.accept());
        }
        if (request.hasKey()) {
            builder.withHeader(BankturnHeaders.IDEMPOTENCY_KEY, request.idempotencyKey());
        }
        attempt.selector()
                .versionOf(request.service())
                .ifPresent(version -> builder.withHeader(BankturnHeaders.VERSION, version));
        return builder.withBody(request.body()).build();
    }

    private static AttemptOutcome<StartedResponse> notRun(ResultCode code) {
        return new AttemptOutcome.NotRun<>(NotRunProof.refusedBeforeSending(code));
    }
}

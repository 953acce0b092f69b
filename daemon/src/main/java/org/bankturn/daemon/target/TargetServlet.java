package org.bankturn.daemon.target;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.opentelemetry.api.trace.Span;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.bankturn.daemon.Answers;
import org.bankturn.daemon.BackendClient;
import org.bankturn.daemon.BankturnHeaders;
import org.bankturn.daemon.observe.Telemetry;
import org.bankturn.ledger.RecentAttempts;
import org.bankturn.result.ResultCode;

/**
 * Admits requests from entry processes and forwards them to the engine or service on this box.
 *
 * <p>A rejected request has not reached the engine. The result code in the response proves this to the entry process.
 *
 * <p>TargetServlet is confined to its reactor's thread.
 */
final class TargetServlet implements AsyncServlet {
    private static final long RETRY_AFTER_MILLIS = 100;

    private final BackendClient client;
    private final String backend;
    private final Telemetry telemetry;
    private final Supplier<List<String>> loaded;
    private final BooleanSupplier leaving;
    private final IntSupplier maxConcurrentRequests;
    private final RecentAttempts attempts = new RecentAttempts();
    private final Map<String, Integer> runningByVersion = new HashMap<>();
    private int running;

    TargetServlet(
            BackendClient client,
            String backend,
            Telemetry telemetry,
            Supplier<List<String>> loaded,
            BooleanSupplier leaving,
            IntSupplier maxConcurrentRequests) {
        this.client = client;
        this.backend = backend;
        this.telemetry = telemetry;
        this.loaded = loaded;
        this.leaving = leaving;
        this.maxConcurrentRequests = maxConcurrentRequests;
    }

    /** Returns the number of requests in progress, including those whose response is still being streamed. */
    int runningRequests() {
        return running;
    }

    /** Returns the number of requests in progress on a version. */
    int runningRequestsOn(String manifest) {
        return runningByVersion.getOrDefault(manifest, 0);
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String version = headerOrEmpty(request, BankturnHeaders.VERSION);
        String attempt = headerOrEmpty(request, BankturnHeaders.ATTEMPT);
        if (leaving.getAsBoolean()) {
            return reject(ResultCode.NOT_RUN_LEAVING);
        }
        if (!version.isEmpty() && !loaded.get().contains(version)) {
            return reject(ResultCode.NOT_RUN_NO_TARGET);
        }
        if (running >= maxConcurrentRequests.getAsInt()) {
            return reject(ResultCode.NOT_RUN_OVERLOADED);
        }
        if (!attempt.isEmpty() && !attempts.addIfAbsent(attempt)) {
            return reject(ResultCode.ATTEMPT_DOUBLED);
        }
        return forward(request, version);
    }

    private Promise<HttpResponse> forward(HttpRequest request, String version) {
        Span span = telemetry.startServerSpan("target", request.getHeader(BankturnHeaders.TRACEPARENT));
        requestStarted(version);
        return request.loadBody().then(body -> {
            BackendClient.Exchange exchange =
                    client.send(backendRequest(request, body, version, telemetry.traceparentOf(span)));
            return exchange.response().map(response -> forwardResponse(response, version, span), failure -> {
                requestEnded(version, span);
                ResultCode code =
                        exchange.witness().neverConnected() ? ResultCode.NOT_RUN_NO_TARGET : ResultCode.OUTCOME_UNKNOWN;
                return Answers.of(code, "The engine did not answer.", RETRY_AFTER_MILLIS);
            });
        });
    }

    private HttpRequest backendRequest(HttpRequest request, ByteBuf body, String version, String traceparent) {
        HttpRequest.Builder builder =
                HttpRequest.builder(request.getMethod(), "http://" + backend + request.getPathAndQuery());
        request.getHeaders().forEach(header -> {
            String name = header.getKey().toString();
            boolean replaced = name.equalsIgnoreCase(BankturnHeaders.TRACEPARENT.toString());
            if (!replaced && !BankturnHeaders.staysOnThisHop(name)) {
                builder.withHeader(header.getKey(), header.getValue().toString());
            }
        });
        String priority = headerOrEmpty(request, BankturnHeaders.PRIORITY);
        if (!priority.isEmpty()) {
            builder.withHeader(BankturnHeaders.PRIORITY, priority);
        }
        if (!version.isEmpty()) {
            builder.withHeader(BankturnHeaders.VERSION, version);
        }
        return builder.withHeader(BankturnHeaders.TRACEPARENT, traceparent)
                .withBody(body.getArray())
                .build();
    }

    private HttpResponse forwardResponse(HttpResponse response, String version, Span span) {
        ChannelSupplier<ByteBuf> body =
                response.takeBodyStream().withEndOfStream(end -> end.whenComplete(() -> requestEnded(version, span)));
        HttpResponse.Builder builder = BackendClient.passOn(response, body);
        if (!version.isEmpty()) {
            builder.withHeader(BankturnHeaders.VERSION, version);
        }
        return builder.build();
    }

    private Promise<HttpResponse> reject(ResultCode code) {
        return Answers.of(code, "", RETRY_AFTER_MILLIS).toPromise();
    }

    private void requestStarted(String version) {
        running++;
        runningByVersion.merge(version, 1, Integer::sum);
        telemetry.setInFlight(running);
    }

    private void requestEnded(String version, Span span) {
        running--;
        runningByVersion.computeIfPresent(version, (key, count) -> count == 1 ? null : count - 1);
        telemetry.setInFlight(running);
        span.end();
    }

    private static String headerOrEmpty(HttpRequest request, HttpHeader header) {
        String value = request.getHeader(header);
        return value == null ? "" : value;
    }
}

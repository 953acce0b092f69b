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
 * The last hop of a request: turns away what must not run, and passes the rest to the engine or service on this box.
 *
 * <p>Whatever it turns away has certainly not reached the engine, and its answer says so by a code that entry processes
 * take as proof.
 *
 * <p>TargetServlet is confined to its reactor's thread.
 */
final class TargetServlet implements AsyncServlet {
    private static final long COME_BACK_MILLIS = 100;

    private final BackendClient client;
    private final String backend;
    private final Telemetry telemetry;
    private final Supplier<List<String>> loaded;
    private final BooleanSupplier leaving;
    private final IntSupplier mostAtOnce;
    private final RecentAttempts attempts = new RecentAttempts();
    private final Map<String, Integer> runningByVersion = new HashMap<>();
    private int running;

    TargetServlet(
            BackendClient client,
            String backend,
            Telemetry telemetry,
            Supplier<List<String>> loaded,
            BooleanSupplier leaving,
            IntSupplier mostAtOnce) {
        this.client = client;
        this.backend = backend;
        this.telemetry = telemetry;
        this.loaded = loaded;
        this.leaving = leaving;
        this.mostAtOnce = mostAtOnce;
    }

    /** Returns the requests under way, answers that still stream included. */
    int runningRequests() {
        return running;
    }

    /** Returns the requests under way on a version. */
    int runningRequestsOn(String manifest) {
        return runningByVersion.getOrDefault(manifest, 0);
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String version = text(request, BankturnHeaders.VERSION);
        String attempt = text(request, BankturnHeaders.ATTEMPT);
        if (leaving.getAsBoolean()) {
            return refuse(ResultCode.NOT_RUN_LEAVING);
        }
        if (!version.isEmpty() && !loaded.get().contains(version)) {
            return refuse(ResultCode.NOT_RUN_NO_TARGET);
        }
        if (running >= mostAtOnce.getAsInt()) {
            return refuse(ResultCode.NOT_RUN_OVERLOADED);
        }
        if (!attempt.isEmpty() && !attempts.addIfAbsent(attempt)) {
            return refuse(ResultCode.ATTEMPT_DOUBLED);
        }
        return pass(request, version);
    }

    private Promise<HttpResponse> pass(HttpRequest request, String version) {
        Span span = telemetry.startHop("target", request.getHeader(BankturnHeaders.TRACEPARENT));
        begin(version);
        return request.loadBody().then(body -> {
            BackendClient.Exchange exchange = client.send(copy(request, body, version, telemetry.traceparentOf(span)));
            return exchange.response().map(response -> answer(response, version, span), failure -> {
                end(version, span);
                ResultCode code =
                        exchange.witness().neverConnected() ? ResultCode.NOT_RUN_NO_TARGET : ResultCode.OUTCOME_UNKNOWN;
                return Answers.of(code, "The engine did not answer.", COME_BACK_MILLIS);
            });
        });
    }

    private HttpRequest copy(HttpRequest request, ByteBuf body, String version, String traceparent) {
        HttpRequest.Builder builder =
                HttpRequest.builder(request.getMethod(), "http://" + backend + request.getPathAndQuery());
        request.getHeaders().forEach(header -> {
            String name = header.getKey().toString();
            boolean replaced = name.equalsIgnoreCase(BankturnHeaders.TRACEPARENT.toString());
            if (!replaced && !BankturnHeaders.staysOnThisHop(name)) {
                builder.withHeader(header.getKey(), header.getValue().toString());
            }
        });
        String priority = text(request, BankturnHeaders.PRIORITY);
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

    private HttpResponse answer(HttpResponse response, String version, Span span) {
        ChannelSupplier<ByteBuf> watched =
                response.takeBodyStream().withEndOfStream(end -> end.whenComplete(() -> end(version, span)));
        HttpResponse.Builder builder = BackendClient.passOn(response, watched);
        if (!version.isEmpty()) {
            builder.withHeader(BankturnHeaders.VERSION, version);
        }
        return builder.build();
    }

    private Promise<HttpResponse> refuse(ResultCode code) {
        return Answers.of(code, "", COME_BACK_MILLIS).toPromise();
    }

    private void begin(String version) {
        running++;
        runningByVersion.merge(version, 1, Integer::sum);
        telemetry.inFlight(running);
    }

    private void end(String version, Span span) {
        running--;
        runningByVersion.computeIfPresent(version, (key, count) -> count == 1 ? null : count - 1);
        telemetry.inFlight(running);
        span.end();
    }

    private static String text(HttpRequest request, HttpHeader header) {
        String value = request.getHeader(header);
        return value == null ? "" : value;
    }
}

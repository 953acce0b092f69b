package org.bankturn.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.distribution.ChunkFile;
import org.bankturn.lease.FenceGuard;

/**
 * A stand-in for a model engine: loads weights on fenced orders and streams chat answers at a fixed rate.
 *
 * <p>Every answer contains the SHA-256 of its weights and the id of the request, so that callers can detect mixed weights
 * and swapped answers. If fence checks are off, the engine executes every order.
 */
public final class EngineStandin implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpHeader VERSION = HttpHeaders.of("X-Bankturn-Version");
    private static final int CONFLICT = 409;

    private final Settings settings;
    private final Executor loader = ForkJoinPool.commonPool();
    private final Map<String, String> weightsByManifest = new ConcurrentHashMap<>();
    private final FenceGuard guard = new FenceGuard();
    private final AtomicInteger startedAnswers = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private StandinServer server;

    /**
     * The behaviour of the engine.
     *
     * @param checksFence true to reject orders with stale fences
     * @param firstTokenMillis the time to the first token
     * @param betweenTokensMillis the time between tokens
     * @param tokens the number of tokens of an answer
     */
    public record Settings(boolean checksFence, long firstTokenMillis, long betweenTokensMillis, int tokens) {
        /** A fast engine that checks fences. */
        public static final Settings DEFAULT = new Settings(true, 10, 4, 12);
    }

    /**
     * Starts an engine.
     *
     * @param port its port on loopback
     * @param settings the behaviour, not null
     * @return the engine, not null
     * @throws IOException if the port is taken
     */
    public static EngineStandin start(int port, Settings settings) throws IOException {
        EngineStandin engine = new EngineStandin(settings);
        engine.server = StandinServer.start(port, reactor -> engine.servlet());
        return engine;
    }

    private EngineStandin(Settings settings) {
        this.settings = settings;
    }

    /** Returns the number of answers started. */
    public int startedAnswers() {
        return startedAnswers.get();
    }

    /** Returns the SHA-256 of the loaded weights, by manifest digest, not null. */
    public Map<String, String> loaded() {
        return Map.copyOf(weightsByManifest);
    }

    @Override
    public void close() {
        server.close();
    }

    private AsyncServlet servlet() {
        return request -> switch (request.getPath()) {
            case "/orders/load" -> order(request, this::load);
            case "/orders/unload" -> order(request, this::unload);
            case "/orders/loaded" -> ok(loadedAnswer(0)).toPromise();
            default -> chat(request);
        };
    }

    private interface Order {
        Promise<Void> execute(JsonNode order);
    }

    private Promise<HttpResponse> order(HttpRequest request, Order order) {
        return request.loadBody().then(body -> {
            JsonNode read = JSON.readTree(body.getArray());
            long fence = read.path("fence").asLong();
            if (settings.checksFence() && !guard.admits(fence)) {
                return HttpResponse.ofCode(CONFLICT)
                        .withBody("stale fence " + fence)
                        .toPromise();
            }
            return order.execute(read).map(nothing -> ok(loadedAnswer(fence)));
        });
    }

    private Promise<Void> load(JsonNode order) {
        String manifest = order.path("manifest").asText();
        Path path = Path.of(order.path("path").asText());
        return Promise.ofBlocking(loader, () -> ChunkFile.digestOf(path))
                .whenResult(digest -> weightsByManifest.put(manifest, digest))
                .toVoid();
    }

    private Promise<Void> unload(JsonNode order) {
        weightsByManifest.remove(order.path("manifest").asText());
        return Promise.complete();
    }

    private ObjectNode loadedAnswer(long fence) {
        ObjectNode answer = JSON.createObjectNode().put("fence", fence);
        weightsByManifest.keySet().forEach(answer.putArray("loaded")::add);
        return answer;
    }

    private Promise<HttpResponse> chat(HttpRequest request) {
        return request.loadBody().then(body -> {
            String weights = weightsByManifest.get(String.valueOf(request.getHeader(VERSION)));
            if (weights == null) {
                return HttpResponse.ofCode(CONFLICT)
                        .withBody("version not loaded")
                        .toPromise();
            }
            JsonNode read = JSON.readTree(body.getArray());
            String id = read.path("user").asText();
            startedAnswers.incrementAndGet();
            running.incrementAndGet();
            return Promises.delay(settings.firstTokenMillis()).map(nothing -> stream(id, weights));
        });
    }

    private HttpResponse stream(String id, String weights) {
        int[] next = {0};
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .withBodyStream(ChannelSuppliers.ofAsyncSupplier(() -> {
                    int token = next[0]++;
                    if (token > settings.tokens()) {
                        running.decrementAndGet();
                        return Promise.of(null);
                    }
                    long pause = token == 0 ? 0 : settings.betweenTokensMillis();
                    return Promises.delay(pause, event(id, weights, token));
                }))
                .build();
    }

    private ByteBuf event(String id, String weights, int token) {
        if (token == settings.tokens()) {
            return ByteBuf.wrapForReading("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        }
        ObjectNode event = JSON.createObjectNode().put("id", id).put("object", "chat.completion.chunk");
        event.put("system_fingerprint", weights);
        event.putArray("choices").addObject().put("index", 0).putObject("delta").put("content", id + ":" + token + " ");
        return ByteBuf.wrapForReading(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    private static HttpResponse ok(JsonNode answer) {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(answer.toString())
                .build();
    }
}

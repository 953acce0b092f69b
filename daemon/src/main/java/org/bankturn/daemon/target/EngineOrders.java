package org.bankturn.daemon.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.daemon.BackendClient;
import org.bankturn.lease.FenceGuard;
import org.bankturn.lease.HeldLease;
import org.bankturn.result.ResultCode;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;

/**
 * Gives fenced orders to this box's engine: load a verified version, unload one.
 *
 * <p>Each order is given under a lease from the control boxes, whose fence the order carries. The lease's validity is
 * checked right before the order leaves; a process that was frozen in between finds it expired.
 *
 * <p>EngineOrders is confined to its reactor's thread.
 */
final class EngineOrders {
    private static final Logger LOG = System.getLogger(EngineOrders.class.getName());
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 20;
    private static final long SUBMIT_TIMEOUT_MILLIS = 5_000;
    private static final long ORDER_TIMEOUT_MILLIS = 60_000;
    private static final long SHORTEST_PAUSE_MILLIS = 50;
    private static final long LONGEST_PAUSE_MILLIS = 1_000;

    private final TargetContext context;
    private final BackendClient client;
    private final String backend;
    private final String holder;
    private final long leaseMillis;
    private final FenceGuard guard = new FenceGuard();
    private long settledMillis;

    EngineOrders(
            TargetContext context,
            BackendClient client,
            String backend,
            String holder,
            long leaseMillis,
            long firstOrderMillis) {
        this.context = context;
        this.client = client;
        this.backend = backend;
        this.holder = holder;
        this.leaseMillis = leaseMillis;
        this.settledMillis = firstOrderMillis;
    }

    /** Asks the engine which versions it serves; the engine knows best, also after this process has restarted. */
    Promise<List<String>> loaded() {
        HttpRequest request =
                HttpRequest.get("http://" + backend + "/orders/loaded").build();
        return exchange(request).map(EngineOrders::manifestsOf);
    }

    /** Orders the engine to load a version; completes with the versions that it then serves. */
    Promise<List<String>> load(String manifest, String path) {
        return order("load", Map.of("manifest", manifest, "path", path));
    }

    /** Orders the engine to unload a version; completes with the versions that it then serves. */
    Promise<List<String>> unload(String manifest) {
        return order("unload", Map.of("manifest", manifest));
    }

    /**
     * Gives one order under a lease of its own. The lease is given up only once the engine has answered: an order without
     * an answer may still be taken up, so until that is over there is no release and no next order.
     */
    private Promise<List<String>> order(String name, Map<String, String> fields) {
        long wait = Math.max(0, settledMillis - context.clock().millis());
        return Promises.delay(wait)
                .then(nothing -> acquireLease())
                .then(held -> give(name, fields, held).whenComplete((manifests, failure) -> {
                    if (failure == null || failure instanceof OrderAnsweredException) {
                        release(held);
                    } else {
                        settledMillis = context.clock().millis() + HeldLease.maxDeliveryMillis(leaseMillis);
                    }
                }));
    }

    private void release(HeldLease held) {
        Command command = new Command.ReleaseLease(context.box(), held.lease().fence());
        Promise.ofFuture(context.control().submit(command, SUBMIT_TIMEOUT_MILLIS))
                .whenException(failure -> LOG.log(Level.WARNING, "lease not released: " + failure.getMessage()));
    }

    private Promise<HeldLease> acquireLease() {
        long asked = context.clock().millis();
        Command command = new Command.AcquireLease(context.box(), holder, leaseMillis, 0);
        return Promise.<CommandResult>ofFuture(context.control().submit(command, SUBMIT_TIMEOUT_MILLIS))
                .then(result -> {
                    if (!(result instanceof CommandResult.LeaseState answer)) {
                        return Promise.ofException(new IOException("no lease: " + result));
                    }
                    if (answer.granted()) {
                        return Promise.of(new HeldLease(answer.lease(), asked));
                    }
                    long pause =
                            Math.max(SHORTEST_PAUSE_MILLIS, Math.min(answer.retryAfterMillis(), LONGEST_PAUSE_MILLIS));
                    return Promises.delay(pause).then(nothing -> acquireLease());
                });
    }

    private Promise<List<String>> give(String name, Map<String, String> fields, HeldLease held) throws IOException {
        long fence = held.lease().fence();
        if (!held.isValidAt(context.clock().millis()) || !guard.admits(fence)) {
            return Promise.ofException(new IOException("the lease ran out before the order was given"));
        }
        Map<String, Object> body = new LinkedHashMap<>(fields);
        body.put("fence", fence);
        HttpRequest request = HttpRequest.post("http://" + backend + "/orders/" + name)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(JSON.writeValueAsBytes(body))
                .build();
        return exchange(request)
                .then(answer -> answer.path("fence").asLong() == fence
                        ? Promise.of(manifestsOf(answer))
                        : Promise.ofException(new IOException("the engine answered to another order")));
    }

    private Promise<JsonNode> exchange(HttpRequest request) {
        Promise<JsonNode> answer = client.send(request)
                .response()
                .then(response -> response.loadBody(MAXIMUM_ANSWER_BYTES).then(body -> {
                    String text = body.getString(StandardCharsets.UTF_8);
                    if (response.getCode() == CONFLICT) {
                        return Promise.ofException(
                                new OrderAnsweredException(ResultCode.FENCE_STALE.number() + " " + text));
                    }
                    return response.getCode() == OK
                            ? Promise.of(JSON.readTree(text))
                            : Promise.ofException(
                                    new OrderAnsweredException("the engine answered " + response.getCode()));
                }));
        return Promises.timeout(ORDER_TIMEOUT_MILLIS, answer);
    }

    /** The engine answered the order, so it will not be taken up any more, but did not carry it out. */
    private static final class OrderAnsweredException extends IOException {
        private static final long serialVersionUID = 1L;

        OrderAnsweredException(String message) {
            super(message);
        }
    }

    private static List<String> manifestsOf(JsonNode answer) {
        List<String> manifests = new ArrayList<>();
        answer.path("loaded").forEach(manifest -> manifests.add(manifest.asText()));
        return List.copyOf(manifests);
    }
}

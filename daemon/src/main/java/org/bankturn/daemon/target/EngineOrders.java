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
 * Sends fenced load and unload orders to the engine on this box.
 *
 * <p>Each order carries the fence of a lease granted by the control group. The lease is checked immediately before the
 * order is sent, so that a process that was suspended after acquiring the lease does not send under an expired one.
 *
 * <p>EngineOrders is confined to its reactor's thread.
 */
final class EngineOrders {
    private static final Logger LOG = System.getLogger(EngineOrders.class.getName());
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int MAX_REPLY_BYTES = 1 << 20;
    private static final long SUBMIT_TIMEOUT_MILLIS = 5_000;
    private static final long ORDER_TIMEOUT_MILLIS = 60_000;
    private static final long MIN_LEASE_RETRY_MILLIS = 50;
    private static final long MAX_LEASE_RETRY_MILLIS = 1_000;

    private final TargetContext context;
    private final BackendClient client;
    private final String backend;
    private final String holder;
    private final long leaseMillis;
    private final FenceGuard guard = new FenceGuard();
    private long nextOrderMillis;

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
        this.nextOrderMillis = firstOrderMillis;
    }

    /** Returns the versions that the engine serves. Only the engine knows them after a restart of this process. */
    Promise<List<String>> loaded() {
        HttpRequest request =
                HttpRequest.get("http://" + backend + "/orders/loaded").build();
        return exchange(request).map(EngineOrders::manifestsOf);
    }

    /** Orders the engine to load a version; completes with the versions that the engine serves afterwards. */
    Promise<List<String>> load(String manifest, String path) {
        return order("load", Map.of("manifest", manifest, "path", path));
    }

    /** Orders the engine to unload a version; completes with the versions that the engine serves afterwards. */
    Promise<List<String>> unload(String manifest) {
        return order("unload", Map.of("manifest", manifest));
    }

    /**
     * Sends one order under its own lease. The lease is released only after the engine has answered: an unanswered order
     * may still be executed, so neither the release nor the next order happens until the maximum delivery time has passed.
     */
    private Promise<List<String>> order(String name, Map<String, String> fields) {
        long wait = Math.max(0, nextOrderMillis - context.clock().millis());
        return Promises.delay(wait)
                .then(nothing -> acquireLease())
                .then(held -> send(name, fields, held).whenComplete((manifests, failure) -> {
                    if (failure == null || failure instanceof OrderRejectedException) {
                        release(held);
                    } else {
                        nextOrderMillis = context.clock().millis() + HeldLease.maxDeliveryMillis(leaseMillis);
                    }
                }));
    }

    private void release(HeldLease held) {
        Command command = new Command.ReleaseLease(context.box(), held.lease().fence());
        Promise.ofFuture(context.control().submit(command, SUBMIT_TIMEOUT_MILLIS))
                .whenException(failure -> LOG.log(Level.WARNING, "could not release lease: " + failure.getMessage()));
    }

    private Promise<HeldLease> acquireLease() {
        long requestedMillis = context.clock().millis();
        Command command = new Command.AcquireLease(context.box(), holder, leaseMillis, 0);
        return Promise.<CommandResult>ofFuture(context.control().submit(command, SUBMIT_TIMEOUT_MILLIS))
                .then(result -> {
                    if (!(result instanceof CommandResult.LeaseState reply)) {
                        return Promise.ofException(new IOException("could not acquire lease: " + result));
                    }
                    if (reply.granted()) {
                        return Promise.of(new HeldLease(reply.lease(), requestedMillis));
                    }
                    long retryMillis = Math.max(
                            MIN_LEASE_RETRY_MILLIS, Math.min(reply.retryAfterMillis(), MAX_LEASE_RETRY_MILLIS));
                    return Promises.delay(retryMillis).then(nothing -> acquireLease());
                });
    }

    private Promise<List<String>> send(String name, Map<String, String> fields, HeldLease held) throws IOException {
        long fence = held.lease().fence();
        if (!held.isValidAt(context.clock().millis()) || !guard.admits(fence)) {
            return Promise.ofException(new IOException("lease expired before the order was sent"));
        }
        Map<String, Object> body = new LinkedHashMap<>(fields);
        body.put("fence", fence);
        HttpRequest request = HttpRequest.post("http://" + backend + "/orders/" + name)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(JSON.writeValueAsBytes(body))
                .build();
        return exchange(request)
                .then(reply -> reply.path("fence").asLong() == fence
                        ? Promise.of(manifestsOf(reply))
                        : Promise.ofException(new IOException("engine reply has the fence of another order")));
    }

    private Promise<JsonNode> exchange(HttpRequest request) {
        Promise<JsonNode> reply = client.send(request)
                .response()
                .then(response -> response.loadBody(MAX_REPLY_BYTES).then(body -> {
                    String text = body.getString(StandardCharsets.UTF_8);
                    if (response.getCode() == CONFLICT) {
                        return Promise.ofException(
                                new OrderRejectedException(ResultCode.FENCE_STALE.number() + " " + text));
                    }
                    return response.getCode() == OK
                            ? Promise.of(JSON.readTree(text))
                            : Promise.ofException(
                                    new OrderRejectedException("engine responded with status " + response.getCode()));
                }));
        return Promises.timeout(ORDER_TIMEOUT_MILLIS, reply);
    }

    /** Thrown when the engine rejected the order, which therefore can no longer take effect. */
    private static final class OrderRejectedException extends IOException {
        private static final long serialVersionUID = 1L;

        OrderRejectedException(String message) {
            super(message);
        }
    }

    private static List<String> manifestsOf(JsonNode reply) {
        List<String> manifests = new ArrayList<>();
        reply.path("loaded").forEach(manifest -> manifests.add(manifest.asText()));
        return List.copyOf(manifests);
    }
}

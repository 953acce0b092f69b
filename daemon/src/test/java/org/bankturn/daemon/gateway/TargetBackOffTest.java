package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/** Tests that gateways respect the back-off and leaving notices of targets. */
class TargetBackOffTest extends GatewayFixture {
    private static final long BACK_OFF_MILLIS = 3_000;
    private static final long SETTLING_MILLIS = 500;
    private static final long SLOW_MILLIS = 120;
    private static final int MAX_ARRIVALS_DURING_BACK_OFF = 2;

    /** Arrival times of requests at a target. */
    private final List<Long> arrivals = new CopyOnWriteArrayList<>();

    private ScriptedTarget rejecting(long backOffMillis) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            arrivals.add(clock.millis());
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 503 Busy\r\nId: " + id + "\r\nNot-Run: 1\r\nBack-Off: " + backOffMillis
                            + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
    }

    private ScriptedTarget leaving() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            arrivals.add(clock.millis());
            ScriptedTarget.write(
                    socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }));
    }

    /** Returns a target whose latency makes it less attractive than one that rejects every request. */
    private ScriptedTarget slow() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            await(new CountDownLatch(1), SLOW_MILLIS);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }));
    }

    private void callUntil(long endMillis) throws IOException {
        for (int number = 0; clock.millis() < endMillis; number++) {
            String unused = call("POST", "r" + number, "");
            pause();
        }
    }

    private long arrivalsBetween(long fromMillis, long toMillis) {
        return arrivals.stream().filter(at -> at > fromMillis && at < toMillis).count();
    }

    @Test
    void a_target_receives_no_requests_during_its_back_off() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, rejecting(BACK_OFF_MILLIS), slow());
        callUntil(clock.millis() + BACK_OFF_MILLIS);
        long first = arrivals.get(0);
        assertThat(arrivalsBetween(first + SETTLING_MILLIS, first + BACK_OFF_MILLIS))
                .isLessThanOrEqualTo(MAX_ARRIVALS_DURING_BACK_OFF);
    }

    @Test
    void requests_are_refused_at_once_with_a_retry_delay_while_all_targets_back_off() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, rejecting(BACK_OFF_MILLIS), rejecting(BACK_OFF_MILLIS));
        String first = call("POST", "first", "");
        assertThat(first).startsWith("HTTP/1.1 503");
        assertThat(arrivals).hasSize(2);
        String refused = call("POST", "second", "");
        assertThat(refused).startsWith("HTTP/1.1 503");
        assertThat(arrivals).hasSize(2);
        long retryAfterMillis = Long.parseLong(ScriptedTarget.field(refused, "come-back"));
        assertThat(new String(
                        reactor.submit(() -> Promise.of(metrics.metricsText())).join(), StandardCharsets.UTF_8))
                .contains("bankturn_targets_held_back{reason=\"backing_off\"} 2.0");
        assertThat(retryAfterMillis).isBetween(arrivals.get(0) + BACK_OFF_MILLIS - clock.millis(), 2 * BACK_OFF_MILLIS);
    }

    /** Guards against a check of a target whose connections end counting as no request. */
    @Test
    void a_target_receives_no_health_request_during_its_back_off() throws Exception {
        CountDownLatch rejected = new CountDownLatch(1);
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            if (id.equals("interrupted")) {
                await(rejected);
                ScriptedTarget.reset(socket);
                return false;
            }
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 503 Busy\r\nId: " + id + "\r\nNot-Run: 1\r\nBack-Off: " + BACK_OFF_MILLIS
                            + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
        publish(RequestKind.UNSAFE, 1, target);
        CompletableFuture<String> interrupted = CompletableFuture.supplyAsync(() -> callUnchecked("interrupted"));
        while (target.heads.isEmpty()) {
            pause();
        }
        assertThat(call("POST", "rejected", "")).startsWith("HTTP/1.1 503");
        rejected.countDown();
        assertThat(interrupted.join()).startsWith("HTTP/1.1 502");
        awaitEndOfCheck();
        assertThat(target.checks).isEmpty();
    }

    /** Guards against a target that turns a check away being asked again before it wants to be. */
    @Test
    void a_target_that_turns_a_check_away_is_not_asked_again_during_its_back_off() throws Exception {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nwhole");
            return false;
        }));
        target.onCheck((expected, socket) -> {
            ScriptedTarget.write(
                    socket, "HTTP/1.1 503 Busy\r\nBack-Off: " + BACK_OFF_MILLIS + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "")).startsWith("HTTP/1.1 502");
        assertThat(target.checks).hasSize(1);
    }

    private void awaitEndOfCheck() {
        while (!new String(metrics.metricsText(), StandardCharsets.UTF_8)
                .contains("bankturn_incarnation_checks_total{")) {
            pause();
        }
    }

    private String callUnchecked(String id) {
        try {
            return call("POST", id, "");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void a_leaving_target_receives_no_further_requests() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, leaving(), slow());
        callUntil(clock.millis() + BACK_OFF_MILLIS);
        assertThat(arrivals).isNotEmpty();
        assertThat(arrivalsBetween(arrivals.get(0) + SETTLING_MILLIS, Long.MAX_VALUE))
                .isZero();
    }
}

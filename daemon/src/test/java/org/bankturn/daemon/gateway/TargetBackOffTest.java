package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/** A target that asked a gateway to wait, or that is about to end, gets nothing more from it. */
class TargetBackOffTest extends GatewayFixture {
    private static final long BACK_OFF_MILLIS = 3_000;
    private static final long UNTIL_IN_FORCE_MILLIS = 500;
    private static final long SLOW_MILLIS = 120;
    private static final int MOST_WHILE_WAITING = 2;

    /** When requests arrived at a target. */
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

    /** A target that looks worse than one that rejects everything. */
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
    void a_target_that_asked_a_gateway_to_wait_gets_nothing_from_it_meanwhile() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, rejecting(BACK_OFF_MILLIS), slow());
        callUntil(clock.millis() + BACK_OFF_MILLIS);
        long first = arrivals.get(0);
        assertThat(arrivalsBetween(first + UNTIL_IN_FORCE_MILLIS, first + BACK_OFF_MILLIS))
                .isLessThanOrEqualTo(MOST_WHILE_WAITING);
    }

    @Test
    void while_all_targets_wait_requests_are_refused_at_once_and_told_when_to_come_back() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, rejecting(BACK_OFF_MILLIS), rejecting(BACK_OFF_MILLIS));
        String both = call("POST", "first", "");
        assertThat(both).startsWith("HTTP/1.1 503");
        assertThat(arrivals).hasSize(2);
        String refused = call("POST", "second", "");
        assertThat(refused).startsWith("HTTP/1.1 503");
        assertThat(arrivals).hasSize(2);
        long comeBackMillis = Long.parseLong(ScriptedTarget.field(refused, "come-back"));
        assertThat(new String(reactor.submit(() -> Promise.of(metrics.text())).join(), StandardCharsets.UTF_8))
                .contains("bankturn_targets_held_back{reason=\"backing_off\"} 2.0");
        assertThat(comeBackMillis).isBetween(arrivals.get(0) + BACK_OFF_MILLIS - clock.millis(), 2 * BACK_OFF_MILLIS);
    }

    @Test
    void a_target_that_says_that_it_leaves_gets_nothing_more() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, leaving(), slow());
        callUntil(clock.millis() + BACK_OFF_MILLIS);
        assertThat(arrivals).isNotEmpty();
        assertThat(arrivalsBetween(arrivals.get(0) + UNTIL_IN_FORCE_MILLIS, Long.MAX_VALUE))
                .isZero();
    }
}

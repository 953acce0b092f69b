package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.bankturn.service.SlowStart;
import org.junit.jupiter.api.Test;

/** Guards against a gateway that sends a target which has just started more than it bears. */
class ColdTargetTest extends GatewayFixture {
    /** One gateway is chosen, and its interval is longer than the test. */
    private static final SlowStart SLOW_START = new SlowStart(20_000, 0.2);

    private static final long COLD_MILLIS = 20_000;

    private final AtomicInteger arrivals = new AtomicInteger();

    private ScriptedTarget answering() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            arrivals.incrementAndGet();
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }));
    }

    private void publish(ScriptedTarget target, SlowStart slowStart, long sequence, long coldMillis) {
        Service service = new Service("chat", "/health", 100, null, null, null, null, slowStart);
        Map<String, TargetSighting> sightings = new HashMap<>();
        String self = nodeAddress.toString();
        sightings.put("relay", new TargetSighting("relay", WeightsRelay.SERVICE, self, "north", 0, false, -1, 1));
        sightings.put(
                "t",
                new TargetSighting("t", "t", 0, "chat", target.address(), "north", 4, false, -1, sequence, coldMillis));
        update(
                new PublishedState(
                        sequence,
                        configuration(RequestKind.IDEMPOTENT, 2, 5_000, service),
                        List.of(),
                        sightings,
                        List.of(),
                        true),
                clock.millis());
        reactor.submit(() -> {
                    gateway.publicationConfirmed(clock.millis());
                    return Promise.complete();
                })
                .join();
    }

    @Test
    void a_gateway_that_has_just_started_sends_nothing_to_a_cold_target_until_it_is_warm() throws Exception {
        ScriptedTarget target = answering();
        publish(target, SLOW_START, 1, COLD_MILLIS);
        assertThat(call("POST", "cold", "")).startsWith("HTTP/1.1 503");
        assertThat(arrivals).hasValue(0);
        publish(target, SLOW_START, 2, 0);
        assertThat(call("POST", "warm", "")).startsWith("HTTP/1.1 200");
    }

    /** The slot is used up when the request is written, also on a kept connection. */
    @Test
    void a_request_to_a_target_that_became_cold_again_is_spaced_from_the_one_before() throws Exception {
        ScriptedTarget target = answering();
        publish(target, SLOW_START, 1, 0);
        assertThat(call("POST", "first", "")).startsWith("HTTP/1.1 200");
        publish(target, SLOW_START, 2, COLD_MILLIS);
        assertThat(call("POST", "second", "")).startsWith("HTTP/1.1 503");
        assertThat(arrivals).hasValue(1);
    }

    @Test
    void a_target_of_a_service_without_slow_start_gets_all_requests() throws Exception {
        ScriptedTarget target = answering();
        publish(target, SlowStart.NONE, 1, COLD_MILLIS);
        for (int number = 0; number < 5; number++) {
            assertThat(call("POST", "r" + number, "")).startsWith("HTTP/1.1 200");
        }
    }
}

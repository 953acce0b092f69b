package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeServer;
import org.bankturn.publication.HallEvacuation;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.PlacementSettings;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.junit.jupiter.api.Test;

/** Runs a gateway in hall north in front of targets in two halls, of which some are evacuated. */
class EvacuationTest extends GatewayFixture {
    private static final int CALLS = 8;
    private static final long LOCAL_POLL_INTERVAL_MILLIS = PlacementSettings.DEFAULT.localPollIntervalMillis();

    private final Map<String, TargetSighting> sightings = new HashMap<>();
    private long index;

    /** Guards against a gateway that acts on an evacuation later than at the publication that brings it. */
    @Test
    void requests_leave_an_evacuated_hall_with_the_publication_and_return_when_it_ends() throws Exception {
        ScriptedTarget north = in("north", answering("north", ""));
        ScriptedTarget south = in("south", answering("south", ""));
        publish(new HallEvacuation("north", true, 2));
        callTimes(CALLS);
        assertThat(north.heads).isEmpty();
        assertThat(south.heads).hasSize(CALLS);
        publish(new HallEvacuation("north", false, 3), new HallEvacuation("south", true, 4));
        callTimes(CALLS);
        assertThat(north.heads).hasSize(CALLS);
        assertThat(south.heads).hasSize(CALLS);
    }

    /** Guards against a restarted gateway sending requests before it knows the evacuated halls. */
    @Test
    void a_restarted_gateway_sends_nothing_before_its_first_publication() throws Exception {
        ScriptedTarget north = in("north", answering("north", ""));
        assertThat(call("GET", "a1", "")).startsWith("HTTP/1.1 503");
        publish(new HallEvacuation("north", true, 2));
        assertThat(call("GET", "a2", "")).startsWith("HTTP/1.1 503");
        assertThat(north.heads).isEmpty();
    }

    /** Guards against a request without an eligible target being held, or rejected without its reason. */
    @Test
    void a_request_whose_only_targets_are_evacuated_is_rejected_at_once_and_the_line_and_gauges_say_so()
            throws Exception {
        in("north", answering("north", ""));
        publish(new HallEvacuation("north", true, 2));
        long before = clock.millis();
        assertThat(call("GET", "a1", "")).startsWith("HTTP/1.1 503");
        assertThat(clock.millis() - before).isLessThan(1_000);
        assertThat(log.awaitLine(DecisionKind.REFUSED, "a1")).contains("no target left but 1 evacuated");
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8))
                .contains("bankturn_evacuated_halls 1")
                .contains("bankturn_targets_held_back{reason=\"evacuated\"} 1");
    }

    /** Guards against an evacuation cutting off requests that run already. */
    @Test
    void a_request_that_runs_in_the_hall_finishes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedTarget north = in("north", register(new ScriptedTarget((number, id, socket) -> {
            await(release);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\ndone");
            return true;
        })));
        publish();
        try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
            ScriptedTarget.write(
                    socket,
                    "GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nDeadline: 5000\r\nKey: k\r\nConnection: close\r\n\r\n");
            while (north.heads.isEmpty()) {
                pause();
            }
            publish(new HallEvacuation("north", true, 2));
            release.countDown();
            assertThat(readAll(socket.getInputStream()))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("done");
        }
        assertThat(north.heads).hasSize(1);
    }

    /** Guards against a retry going to an evacuated hall. */
    @Test
    void a_failed_request_is_not_retried_in_an_evacuated_hall() throws Exception {
        ScriptedTarget north = in("north", answering("north", ""));
        in("south", register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 500 Broken\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        })));
        publish(new HallEvacuation("north", true, 2));
        assertThat(call("GET", "a1", "")).startsWith("HTTP/1.1 5");
        assertThat(north.heads).isEmpty();
    }

    /** Guards against polls of engines that get no requests, and against engines that are not polled after the end. */
    @Test
    void engines_of_an_evacuated_hall_are_polled_only_after_its_end() throws Exception {
        AtomicInteger polls = new AtomicInteger();
        reactor.submit(() -> {
                    NodeServer.create(reactor, nodeAddress, request -> {
                                polls.incrementAndGet();
                                return Promise.of(new NodeReply.Load(null, 0, 0));
                            })
                            .listen();
                    return Promise.complete();
                })
                .join();
        sightings.put("e", new TargetSighting("e", "chat", nodeAddress.toString(), "north", 4, false, 1, 1));
        publish(new HallEvacuation("north", true, 2));
        Thread.sleep(LOCAL_POLL_INTERVAL_MILLIS + 200);
        assertThat(polls).hasValue(0);
        publish(new HallEvacuation("north", false, 3));
        while (polls.get() == 0) {
            pause();
        }
    }

    private ScriptedTarget in(String hall, ScriptedTarget target) {
        String id = "t-" + target.address();
        sightings.put(id, new TargetSighting(id, "chat", target.address(), hall, 4, false, -1, 1));
        return target;
    }

    private void publish(HallEvacuation... evacuations) {
        Service service = new Service("chat", "/health", 100, null, null, null, null);
        update(
                new PublishedState(
                        ++index,
                        configuration(RequestKind.IDEMPOTENT, 2, 2_000, service),
                        List.of(),
                        sightings,
                        List.of(),
                        true,
                        List.of(evacuations)),
                clock.millis());
    }

    private void callTimes(int times) throws Exception {
        for (int number = 0; number < times; number++) {
            assertThat(call("GET", "a" + index + "-" + number, "")).startsWith("HTTP/1.1 200");
        }
    }
}

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.Published;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.publication.NamedWeights;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.Account;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.bankturn.service.WeightsLayout;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A gateway on loopback before targets that misbehave as each test says. */
@Timeout(30)
class GatewayTest {
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("gateway-test").build();
    private final Clock clock = Clock.system();
    private final List<ScriptedTarget> targets = new ArrayList<>();
    private Gateway gateway;

    /** Whether what is published is confirmed by a control process in touch with a majority. */
    private boolean confirmed = true;

    private Address callers;
    private Address ready;

    @BeforeEach
    void startGateway() throws Exception {
        callers = FreeAddresses.next();
        ready = FreeAddresses.next();
        DecisionLog log = DecisionLog.start("test", clock);
        gateway = Gateway.of(
                new GatewaySettings(
                        "test", "north", callers, ready, 1, new RetryLimits(0.5, 960, 10_000), 1_000, 20_000),
                new PlainDialect(),
                reactor,
                NodeClients.on(reactor),
                clock,
                log,
                ServingMetrics.of(log));
        reactor.keepAlive(true);
        new Thread(reactor, "gateway-test").start();
        reactor.submit(() -> {
                    gateway.start();
                    return Promise.complete();
                })
                .join();
    }

    @AfterEach
    void stop() throws IOException {
        for (ScriptedTarget target : targets) {
            target.close();
        }
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    @Test
    void an_answer_comes_back_whole_with_its_fields() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, answering("hello", "Seal: s1\r\n"));
        String answer = call("GET", "a1", "");
        assertThat(answer).startsWith("HTTP/1.1 200").contains("Seal: s1").endsWith("\r\n\r\nhello");
    }

    @Test
    void the_body_travels_unchanged_and_the_deadline_shrinks() throws Exception {
        ScriptedTarget target = answering("ok", "");
        publish(RequestKind.UNSAFE, 1, target);
        call("POST", "a1", "some body");
        assertThat(target.bodies).containsExactly("some body");
        assertThat(Long.parseLong(ScriptedTarget.field(target.heads.get(0), "deadline")))
                .isBetween(1L, 2_000L);
    }

    @Test
    void an_unsafe_request_whose_connection_is_reset_is_not_sent_again() throws Exception {
        ScriptedTarget one = resetting();
        ScriptedTarget other = resetting();
        publish(RequestKind.UNSAFE, 2, one, other);
        assertThat(call("POST", "a1", "x")).startsWith("HTTP/1.1 502");
        assertThat(one.heads.size() + other.heads.size()).isEqualTo(1);
    }

    @Test
    void an_unsafe_request_that_was_not_run_goes_to_another_target() throws Exception {
        ScriptedTarget one = refusingFirst();
        ScriptedTarget other = answering("done", "");
        publish(RequestKind.UNSAFE, 2, one, other);
        for (int number = 0; number < 4; number++) {
            assertThat(call("POST", "a" + number, "x")).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void a_request_that_every_target_refused_is_refused_with_when_to_come_back() throws Exception {
        publish(RequestKind.UNSAFE, 2, alwaysRefusing(), alwaysRefusing());
        assertThat(call("POST", "a1", "x")).startsWith("HTTP/1.1 503").contains("Come-Back: ");
    }

    @Test
    void after_a_reset_a_later_refusal_does_not_make_it_not_run() throws Exception {
        ScriptedTarget one = new ScriptedTarget((number, id, socket) -> {
            if (number % 2 == 1) {
                ScriptedTarget.reset(socket);
                return false;
            }
            ScriptedTarget.write(socket, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
        targets.add(one);
        publish(RequestKind.IDEMPOTENT, 2, one, alwaysRefusing());
        String answer = call("GET", "a1", "");
        assertThat(answer).doesNotContain("200 OK");
        if (!one.heads.isEmpty()) {
            assertThat(answer).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void an_answer_to_another_request_is_passed_over() throws Exception {
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 5\r\n\r\nwrong");
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 5\r\n\r\nright");
            return true;
        });
        targets.add(target);
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "a1", "x")).endsWith("right");
        assertThat(call("POST", "a2", "x")).endsWith("right");
    }

    @Test
    void an_answer_cut_short_does_not_look_whole() throws Exception {
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 50\r\n\r\npart");
            return false;
        });
        targets.add(target);
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "a1", "x")).startsWith("HTTP/1.1 502").doesNotContain("part");
    }

    @Test
    void an_answer_without_a_length_ends_with_its_connection() throws Exception {
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nall of it");
            return false;
        });
        targets.add(target);
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "a1", "x")).startsWith("HTTP/1.1 200").endsWith("all of it");
    }

    @Test
    void chunk_lines_that_come_in_two_parts_are_read() throws Exception {
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel");
            pause();
            ScriptedTarget.write(socket, "lo\r\n6");
            pause();
            ScriptedTarget.write(socket, "\r\n world\r\n0\r\n\r\n");
            return true;
        });
        targets.add(target);
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "a1", "x")).endsWith("hello world");
    }

    @Test
    void a_stream_goes_on_at_another_target_after_its_last_whole_event() throws Exception {
        ScriptedTarget one = streaming();
        ScriptedTarget other = streaming();
        publish(RequestKind.RESUMABLE_STREAM, 2, one, other);
        String answer = call("POST", "a1", "x");
        assertThat(eventsOf(answer)).containsExactly("1", "2", "3", "4");
        assertThat(answer).endsWith("0\r\n\r\n");
    }

    @Test
    void a_stream_that_may_not_be_taken_up_ends_without_looking_whole() throws Exception {
        publish(RequestKind.STREAM, 2, streaming(), streaming());
        String answer = call("POST", "a1", "x");
        assertThat(eventsOf(answer)).containsExactly("1", "2");
        assertThat(answer).doesNotEndWith("0\r\n\r\n");
    }

    @Test
    void a_stream_that_ends_in_the_middle_of_an_event_is_not_whole() throws Exception {
        ScriptedTarget one = endingInAnEvent();
        ScriptedTarget other = endingInAnEvent();
        publish(RequestKind.RESUMABLE_STREAM, 2, one, other);
        String answer = call("POST", "a1", "x");
        assertThat(eventsOf(answer)).containsExactly("1", "2");
        assertThat(answer).doesNotEndWith("0\r\n\r\n");
        assertThat(one.heads.size() + other.heads.size()).isEqualTo(2);
    }

    @Test
    void a_request_that_may_be_repeated_leaves_a_silent_target() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        ScriptedTarget silent = keep(new ScriptedTarget((number, id, socket) -> {
            await(never);
            return false;
        }));
        publish(RequestKind.IDEMPOTENT, 2, silent, answering("here", ""));
        for (int number = 0; number < 3; number++) {
            assertThat(call("GET", "a" + number, "")).endsWith("here");
        }
    }

    @Test
    void a_target_is_told_within_half_a_second_when_the_caller_leaves() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            if (socket.getInputStream().read() < 0) {
                ended.countDown();
            }
            return false;
        });
        targets.add(target);
        publish(RequestKind.IDEMPOTENT, 1, target);
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            ScriptedTarget.write(socket, "GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nDeadline: 20000\r\nKey: k\r\n\r\n");
            while (target.heads.isEmpty()) {
                pause();
            }
        }
        assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void unknown_keys_and_paths_are_told_apart_from_knowing_nothing() throws Exception {
        assertThat(call("GET", "a1", "")).startsWith("HTTP/1.1 503");
        publish(RequestKind.IDEMPOTENT, 1, answering("x", ""));
        assertThat(exchange("GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a2\r\nKey: other\r\nConnection: close\r\n\r\n"))
                .startsWith("HTTP/1.1 401");
        assertThat(exchange("GET /y/1 HTTP/1.1\r\nHost: h\r\nId: a3\r\nKey: k\r\nConnection: close\r\n\r\n"))
                .startsWith("HTTP/1.1 404");
    }

    /** A restarted gateway may have learned only of a configuration that is older than what is in force. */
    @Test
    void what_a_configuration_that_is_not_confirmed_does_not_know_is_not_denied_for_good() throws Exception {
        confirmed = false;
        publish(RequestKind.IDEMPOTENT, 2, answering("ok", ""));
        String unknownKey = "GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: other\r\nConnection: close\r\n\r\n";
        String unknownRoute = "GET /y/1 HTTP/1.1\r\nHost: h\r\nId: a2\r\nKey: k\r\nConnection: close\r\n\r\n";
        assertThat(exchange(unknownKey)).startsWith("HTTP/1.1 503");
        assertThat(exchange(unknownRoute)).startsWith("HTTP/1.1 503");
        assertThat(call("GET", "a3", "")).startsWith("HTTP/1.1 200");
        confirmed = true;
        publish(RequestKind.IDEMPOTENT, 2);
        assertThat(exchange(unknownKey)).startsWith("HTTP/1.1 401");
        assertThat(exchange(unknownRoute)).startsWith("HTTP/1.1 404");
    }

    /** The first publication after a start may lack what was named long ago or just now; which of the two is not known. */
    @Test
    void a_version_that_comes_with_the_second_publication_after_a_start_is_not_taken_for_one_named_long_ago()
            throws Exception {
        ScriptedTarget target = answering("ok", "");
        Service engines = new Service("chat", "/health", 100, null, new WeightsLayout("m", 1, 4, 10), null, null);
        Map<String, TargetSighting> sightings =
                Map.of("t", new TargetSighting("t", "chat", target.address(), "north", 4, false, 1, 1));
        ServingConfiguration configuration = configuration(RequestKind.IDEMPOTENT, 1, 2_000, engines);
        List<NamedWeights> named = List.of(new NamedWeights("m", 2, 2));
        update(new Published(1, configuration, List.of(), sightings, false), LONG_AGO);
        update(new Published(2, configuration, named, sightings, true), LONG_AGO);
        assertThat(call("GET", "a1", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void a_planned_stop_lets_a_request_end_and_tells_the_platform_at_once() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            await(release);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\ndone");
            return true;
        });
        targets.add(target);
        publish(RequestKind.UNSAFE, 1, target);
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            ScriptedTarget.write(
                    socket, "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: k\r\nContent-Length: 0\r\n\r\n");
            while (target.heads.isEmpty()) {
                pause();
            }
            var stopped = reactor.submit(gateway::stop);
            assertThat(askReady()).startsWith("HTTP/1.1 503");
            release.countDown();
            String answer = readAll(socket.getInputStream());
            assertThat(answer).endsWith("done").contains("Connection: close");
            stopped.join();
        }
    }

    /** A request that came late into a stop was taken, and cut when the time for the stop was over. */
    @Test
    void late_in_a_planned_stop_a_new_request_is_refused_and_the_old_one_still_ends_whole() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedTarget target = keep(new ScriptedTarget((number, id, socket) -> {
            await(release);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\ndone");
            return true;
        }));
        publish(RequestKind.UNSAFE, 1, 15_000, target);
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            String id = "a1";
            ScriptedTarget.write(
                    socket, "POST /x/1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 0\r\nId: " + id + "\r\n\r\n");
            while (target.heads.isEmpty()) {
                pause();
            }
            var stopped = reactor.submit(gateway::stop);
            String late = "";
            while (!late.startsWith("HTTP/1.1 503")) {
                pause();
                late = exchange("HEAD /nowhere HTTP/1.1\r\nHost: h\r\nId: late\r\nConnection: close\r\n\r\n");
            }
            assertThat(late).contains("Come-Back: ").contains("Connection: close");
            assertThat(call("POST", "a2", "x")).startsWith("HTTP/1.1 503");
            assertThat(target.heads).hasSize(1);
            release.countDown();
            assertThat(readAll(socket.getInputStream())).endsWith("done");
            stopped.join();
        }
    }

    // ---- targets

    private ScriptedTarget answering(String body, String fields) throws IOException {
        return keep(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n"
                            + body);
            return true;
        }));
    }

    private ScriptedTarget resetting() throws IOException {
        return keep(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.reset(socket);
            return false;
        }));
    }

    private ScriptedTarget refusingFirst() throws IOException {
        return keep(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket,
                    number == 1
                            ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
    }

    private ScriptedTarget alwaysRefusing() throws IOException {
        return keep(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
    }

    /** Breaks off in the middle of the third event, unless it is asked to go on after the second. */
    private ScriptedTarget streaming() throws IOException {
        Map<String, ScriptedTarget> self = new HashMap<>();
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            String head = self.get("target").heads.get(number - 1);
            boolean resumed = ScriptedTarget.field(head, "last-event").equals("2");
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (resumed) {
                ScriptedTarget.write(socket, chunk("id: 3\ndata: c\n\n") + chunk("id: 4\ndata: d\n\n") + "0\r\n\r\n");
                return true;
            }
            ScriptedTarget.write(socket, chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\nid: 3\nda"));
            return false;
        });
        self.put("target", target);
        return keep(target);
    }

    /** Gives one event more than before, then half of the next, and closes an answer without a length. */
    private ScriptedTarget endingInAnEvent() throws IOException {
        Map<String, ScriptedTarget> self = new HashMap<>();
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            String last = ScriptedTarget.field(self.get("target").heads.get(number - 1), "last-event");
            int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Type: text/event-stream\r\n\r\nid: " + next
                            + "\ndata: a\n\nid: " + (next + 1) + "\nda");
            return false;
        });
        self.put("target", target);
        return keep(target);
    }

    private ScriptedTarget keep(ScriptedTarget target) {
        targets.add(target);
        return target;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    // ---- calls

    private void publish(RequestKind kind, int attempts, ScriptedTarget... published) {
        publish(kind, attempts, 2_000, published);
    }

    private void publish(RequestKind kind, int attempts, long timeoutMillis, ScriptedTarget... published) {
        Service service = new Service("chat", "/health", 100, null, null, null, null);
        ServingConfiguration configuration = configuration(kind, attempts, timeoutMillis, service);
        Map<String, TargetSighting> sightings = new HashMap<>();
        for (ScriptedTarget target : published) {
            String id = "t-" + target.address();
            sightings.put(id, new TargetSighting(id, "chat", target.address(), "north", 4, false, -1, 1));
        }
        update(new Published(1, configuration, List.of(), sightings, confirmed), clock.millis());
    }

    private static ServingConfiguration configuration(
            RequestKind kind, int attempts, long timeoutMillis, Service service) {
        Route route = new Route(
                "r", "h", "/x/", kind, timeoutMillis, 300, 0, List.of(new WeightedService("chat", 1)), attempts, false);
        return ServingConfiguration.of(
                1,
                List.of(route),
                List.of(service),
                ClientLimits.DEFAULT,
                List.of(new Account("acme", List.of("k"), 0)));
    }

    private void update(Published newer, long changedSinceMillis) {
        reactor.submit(() -> {
                    gateway.update(newer, changedSinceMillis);
                    return Promise.complete();
                })
                .join();
    }

    private String call(String method, String id, String body) throws IOException {
        return exchange(method + " /x/1 HTTP/1.1\r\nHost: h\r\nId: " + id
                + "\r\nDeadline: 5000\r\nKey: k\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body);
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            ScriptedTarget.write(socket, request);
            return readAll(socket.getInputStream());
        }
    }

    private String askReady() throws IOException {
        try (Socket socket = new Socket(ready.host(), ready.port())) {
            ScriptedTarget.write(socket, "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            return readAll(socket.getInputStream());
        }
    }

    private static String readAll(InputStream input) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try (InputStream buffered = new BufferedInputStream(input)) {
            buffered.transferTo(all);
        } catch (IOException e) {
            // a reset ends what can be read
        }
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    private static List<String> eventsOf(String answer) {
        return answer.lines()
                .filter(line -> line.startsWith("id: "))
                .map(line -> line.substring(4))
                .toList();
    }

    private static void pause() {
        await(new CountDownLatch(1), 20);
    }

    private static void await(CountDownLatch latch) {
        await(latch, 10_000);
    }

    private static void await(CountDownLatch latch, long millis) {
        try {
            boolean unused = latch.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

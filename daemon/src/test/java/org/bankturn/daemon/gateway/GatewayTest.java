package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.publication.NamedWeights;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.bankturn.service.WeightsLayout;
import org.junit.jupiter.api.Test;

/** Tests the handling of single requests whose targets respond, fail or stall. */
class GatewayTest extends GatewayFixture {
    @Test
    void a_response_is_forwarded_with_its_headers_and_body() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, answering("hello", "Seal: s1\r\n"));
        String answer = call("GET", "a1", "");
        assertThat(answer).startsWith("HTTP/1.1 200").contains("Seal: s1").endsWith("\r\n\r\nhello");
    }

    @Test
    void the_body_is_forwarded_unchanged_and_the_deadline_is_reduced() throws Exception {
        ScriptedTarget target = answering("ok", "");
        publish(RequestKind.UNSAFE, 1, target);
        call("POST", "a1", "some body");
        assertThat(target.bodies).containsExactly("some body");
        assertThat(Long.parseLong(ScriptedTarget.field(target.heads.get(0), "deadline")))
                .isBetween(1L, 2_000L);
    }

    @Test
    void an_unsafe_request_is_not_retried_after_a_connection_reset() throws Exception {
        ScriptedTarget one = resetting();
        ScriptedTarget other = resetting();
        publish(RequestKind.UNSAFE, 2, one, other);
        assertThat(call("POST", "a1", "x")).startsWith("HTTP/1.1 502");
        assertThat(one.heads.size() + other.heads.size()).isEqualTo(1);
    }

    @Test
    void an_unsafe_request_that_was_not_run_is_retried_at_another_target() throws Exception {
        ScriptedTarget one = refusingFirstRequest();
        ScriptedTarget other = answering("done", "");
        publish(RequestKind.UNSAFE, 2, one, other);
        for (int number = 0; number < 4; number++) {
            assertThat(call("POST", "a" + number, "x")).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void a_request_refused_by_every_target_is_refused_with_a_retry_delay() throws Exception {
        publish(RequestKind.UNSAFE, 2, refusing(), refusing());
        assertThat(call("POST", "a1", "x")).startsWith("HTTP/1.1 503").contains("Come-Back: ");
    }

    /** Guards against refusals whose cause an operator finds in no counter. */
    @Test
    void a_refusal_is_counted_by_its_cause() throws Exception {
        publish(RequestKind.UNSAFE, 2, refusing(), refusing());
        call("POST", "a1", "x");
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8))
                .contains("bankturn_refusals_total{cause=\"attempts\",service=\"chat\"} 1.0");
    }

    @Test
    void a_refusal_after_a_reset_does_not_count_as_not_run() throws Exception {
        ScriptedTarget one = new ScriptedTarget((number, id, socket) -> {
            if (number % 2 == 1) {
                ScriptedTarget.reset(socket);
                return false;
            }
            ScriptedTarget.write(socket, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
        targets.add(one);
        publish(RequestKind.IDEMPOTENT, 2, one, refusing());
        String answer = call("GET", "a1", "");
        assertThat(answer).doesNotContain("200 OK");
        if (!one.heads.isEmpty()) {
            assertThat(answer).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void a_response_to_another_request_is_ignored() throws Exception {
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
    void a_truncated_response_is_not_forwarded_as_complete() throws Exception {
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 50\r\n\r\npart");
            return false;
        });
        targets.add(target);
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "a1", "x")).startsWith("HTTP/1.1 502").doesNotContain("part");
    }

    @Test
    void a_response_without_content_length_ends_when_the_connection_closes() throws Exception {
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nall of it");
            return false;
        });
        targets.add(target);
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "a1", "x")).startsWith("HTTP/1.1 200").endsWith("all of it");
    }

    @Test
    void chunk_headers_split_across_reads_are_parsed() throws Exception {
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
    void a_stream_resumes_at_another_target_after_the_last_complete_event() throws Exception {
        ScriptedTarget one = streaming();
        ScriptedTarget other = streaming();
        publish(RequestKind.RESUMABLE_STREAM, 2, one, other);
        String answer = call("POST", "a1", "x");
        assertThat(eventIds(answer)).containsExactly("1", "2", "3", "4");
        assertThat(answer).endsWith("0\r\n\r\n");
    }

    /** Guards against ending a begun stream because its next target rejected it as not run. */
    @Test
    void a_stream_whose_target_resets_and_whose_next_target_rejects_it_ends_whole() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        String rejection = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        publish(
                RequestKind.RESUMABLE_STREAM,
                2,
                failingSecondRequest(requests, rejection),
                failingSecondRequest(requests, rejection),
                failingSecondRequest(requests, rejection));
        String answer = call("POST", "a1", "x");
        assertThat(eventIds(answer)).containsExactly("1", "2", "3");
        assertThat(answer).endsWith("0\r\n\r\n");
        assertThat(requests.get()).isEqualTo(3);
    }

    /** Guards against ending a begun stream because the target of its resumption failed. */
    @Test
    void a_stream_whose_resumption_fails_with_a_status_goes_on_at_another_target() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        String failure = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
        publish(
                RequestKind.RESUMABLE_STREAM,
                3,
                failingSecondRequest(requests, failure),
                failingSecondRequest(requests, failure),
                failingSecondRequest(requests, failure));
        String answer = call("POST", "a1", "x");
        assertThat(eventIds(answer)).containsExactly("1", "2", "3");
        assertThat(answer).endsWith("0\r\n\r\n");
    }

    /** Guards against ending a begun stream because no target is left at this instant. */
    @Test
    void a_stream_whose_only_target_resets_goes_on_at_one_that_is_published_later() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        ScriptedTarget one = resettingBegunStream(reset);
        publish(RequestKind.RESUMABLE_STREAM, 2, 20_000, one);
        CompletableFuture<String> answer = callAsync("a1");
        await(reset);
        pause();
        publish(RequestKind.RESUMABLE_STREAM, 2, 20_000, one, resettingBegunStream(reset));
        assertThat(eventIds(answer.get())).containsExactly("1", "2", "3");
        assertThat(answer.get()).endsWith("0\r\n\r\n");
    }

    /** Guards against excluding a target that broke a stream off only to change its weights. */
    @Test
    void a_stream_goes_on_at_the_target_that_reset_it_once_that_holds_newer_weights() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        ScriptedTarget target = resettingBegunStream(reset);
        publishWeights(target, 1);
        CompletableFuture<String> answer = callAsync("a1");
        await(reset);
        pause();
        publishWeights(target, 2);
        assertThat(eventIds(answer.get())).containsExactly("1", "2", "3");
        assertThat(answer.get()).endsWith("0\r\n\r\n");
    }

    /** Publishes version 2 of the weights, and a target that holds the given version. */
    private void publishWeights(ScriptedTarget target, int heldVersion) {
        Service service = new Service("chat", "/health", 100, null, new WeightsLayout("m", 1, 1, 1), null, null);
        String id = "t-" + target.address();
        TargetSighting relay = new TargetSighting(
                "relay-test", WeightsRelay.SERVICE, nodeAddress.toString(), "north", 0, false, -1, 1);
        TargetSighting sighting =
                new TargetSighting(id, "chat", target.address(), "north", 4, false, heldVersion, heldVersion);
        update(
                new PublishedState(
                        1,
                        configuration(RequestKind.RESUMABLE_STREAM, 1, 20_000, service),
                        List.of(new NamedWeights("m", 2, 1)),
                        Map.of(relay.id(), relay, id, sighting),
                        List.of(),
                        true),
                clock.millis() + 60_000);
    }

    private CompletableFuture<String> callAsync(String id) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return call("POST", id, "x");
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    void a_non_resumable_stream_that_breaks_is_aborted() throws Exception {
        publish(RequestKind.STREAM, 2, streaming(), streaming());
        String answer = call("POST", "a1", "x");
        assertThat(eventIds(answer)).containsExactly("1", "2");
        assertThat(answer).doesNotEndWith("0\r\n\r\n");
    }

    @Test
    void a_stream_that_ends_within_an_event_is_incomplete() throws Exception {
        ScriptedTarget one = endingWithinEvent();
        ScriptedTarget other = endingWithinEvent();
        publish(RequestKind.RESUMABLE_STREAM, 2, one, other);
        String answer = call("POST", "a1", "x");
        assertThat(eventIds(answer)).containsExactly("1", "2");
        assertThat(answer).doesNotEndWith("0\r\n\r\n");
        assertThat(one.heads.size() + other.heads.size()).isEqualTo(2);
    }

    @Test
    void an_idempotent_request_moves_away_from_a_stalled_target() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        ScriptedTarget silent = register(new ScriptedTarget((number, id, socket) -> {
            await(never);
            return false;
        }));
        publish(RequestKind.IDEMPOTENT, 2, silent, answering("here", ""));
        for (int number = 0; number < 3; number++) {
            assertThat(call("GET", "a" + number, "")).endsWith("here");
        }
    }

    @Test
    void a_target_is_disconnected_when_the_caller_disconnects() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            if (socket.getInputStream().read() < 0) {
                ended.countDown();
            }
            return false;
        });
        targets.add(target);
        publish(RequestKind.IDEMPOTENT, 1, target);
        try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
            ScriptedTarget.write(socket, "GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nDeadline: 20000\r\nKey: k\r\n\r\n");
            while (target.heads.isEmpty()) {
                pause();
            }
        }
        assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
    }

    // ---- targets

    private ScriptedTarget resetting() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.reset(socket);
            return false;
        }));
    }

    private ScriptedTarget refusingFirstRequest() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket,
                    number == 1
                            ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
    }

    private ScriptedTarget refusing() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
    }

    /** Returns a target that resets a stream after two events, and goes on with one that is resumed. */
    private ScriptedTarget resettingBegunStream(CountDownLatch reset) throws IOException {
        Map<String, ScriptedTarget> self = new HashMap<>();
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            String head = self.get("target").heads.get(number - 1);
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (ScriptedTarget.field(head, "last-event").equals("2")) {
                ScriptedTarget.write(socket, chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
                return true;
            }
            ScriptedTarget.write(socket, chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n"));
            pause();
            ScriptedTarget.reset(socket);
            socket.close();
            reset.countDown();
            return false;
        });
        self.put("target", target);
        return register(target);
    }

    /** Returns one of several targets: of all requests, the first is reset after two events, the second fails. */
    private ScriptedTarget failingSecondRequest(AtomicInteger requests, String failure) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            int request = requests.incrementAndGet();
            if (request == 2) {
                ScriptedTarget.write(socket, failure);
                return true;
            }
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (request == 1) {
                ScriptedTarget.write(socket, chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n"));
                pause();
                ScriptedTarget.reset(socket);
                return false;
            }
            ScriptedTarget.write(socket, chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
            return true;
        }));
    }

    /** Returns a target that breaks off within the third event, unless asked to resume after the second. */
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
        return register(target);
    }

    /** Returns a target that sends one complete event and half of the next, then closes a response without a length. */
    private ScriptedTarget endingWithinEvent() throws IOException {
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
        return register(target);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static List<String> eventIds(String answer) {
        return answer.lines()
                .filter(line -> line.startsWith("id: "))
                .map(line -> line.substring(4))
                .toList();
    }
}

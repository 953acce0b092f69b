package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that takes requests and cuts them at the end of its grace period without an answer. */
class LateRequestsInPlannedStopTest extends GatewayFixture {
    private static final long GRACE_MILLIS = 3_000;

    /** Reaches beyond the end of the grace period. */
    private static final long ROUTE_TIMEOUT_MILLIS = 15_000;

    private final CountDownLatch release = new CountDownLatch(1);

    @Override
    long stopTimeoutMillis() {
        return GRACE_MILLIS;
    }

    @AfterEach
    void releaseTargets() {
        release.countDown();
    }

    @Test
    void an_unsafe_request_that_still_runs_at_the_end_is_answered_as_possibly_run() throws Exception {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> awaitRelease()));
        publish(RequestKind.UNSAFE, 2, ROUTE_TIMEOUT_MILLIS, target);
        try (Socket socket = connect()) {
            send(socket, "a1", "");
            awaitRequests(target, 1);
            CompletableFuture<Void> stopped = startStop();
            assertThat(readAll(socket.getInputStream()))
                    .startsWith("HTTP/1.1 504")
                    .contains("Connection: close")
                    .doesNotContain("Come-Back");
            stopped.join();
        }
        assertThat(log.awaitLine(DecisionKind.FAILED, "a1")).contains("\"cause\":\"shutdown\"");
    }

    @Test
    void an_unsafe_request_of_unknown_duration_is_refused_before_it_is_sent() throws Exception {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> awaitRelease()));
        publish(RequestKind.UNSAFE, 2, ROUTE_TIMEOUT_MILLIS, target);
        try (Socket kept = connect()) {
            CompletableFuture<Void> stopped = startStop();
            send(kept, "a1", "");
            assertThat(readAll(kept.getInputStream()))
                    .startsWith("HTTP/1.1 503")
                    .contains("Connection: close")
                    .contains("Come-Back: ");
            stopped.join();
        }
        assertThat(target.heads).isEmpty();
        assertThat(log.awaitLine(DecisionKind.REFUSED, "a1")).contains("\"cause\":\"shutdown\"");
    }

    @Test
    void an_unsafe_request_of_a_quick_route_is_answered_with_the_deadline_that_the_stop_leaves() throws Exception {
        ScriptedTarget target = answering("done", "");
        publish(RequestKind.UNSAFE, 2, ROUTE_TIMEOUT_MILLIS, target);
        try (Socket kept = connect()) {
            for (int number = 0; number < 20; number++) {
                send(kept, "before" + number, "");
                assertThat(readResponse(kept)).endsWith("done");
            }
            CompletableFuture<Void> stopped = startStop();
            send(kept, "a1", "");
            assertThat(readAll(kept.getInputStream()))
                    .startsWith("HTTP/1.1 200")
                    .contains("Connection: close")
                    .endsWith("done");
            stopped.join();
        }
        String forwarded = target.heads.get(target.heads.size() - 1);
        assertThat(Long.parseLong(ScriptedTarget.field(forwarded, "Deadline"))).isBetween(1L, GRACE_MILLIS);
    }

    @Test
    void an_unsafe_request_that_its_target_did_not_run_is_not_sent_to_another_one() throws Exception {
        ScriptedTarget refusing = register(new ScriptedTarget((number, id, socket) -> {
            await(release);
            ScriptedTarget.write(
                    socket, "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
        publish(RequestKind.UNSAFE, 2, ROUTE_TIMEOUT_MILLIS, refusing);
        try (Socket socket = connect()) {
            send(socket, "a1", "");
            awaitRequests(refusing, 1);
            ScriptedTarget other = register(new ScriptedTarget((number, id, connection) -> awaitRelease()));
            publish(RequestKind.UNSAFE, 2, ROUTE_TIMEOUT_MILLIS, refusing, other);
            CompletableFuture<Void> stopped = startStop();
            release.countDown();
            assertThat(readAll(socket.getInputStream()))
                    .startsWith("HTTP/1.1 503")
                    .contains("Connection: close")
                    .contains("Come-Back: ");
            stopped.join();
            assertThat(other.heads).isEmpty();
        }
    }

    @Test
    void a_request_whose_body_is_still_being_received_at_the_end_is_refused() throws Exception {
        ScriptedTarget target = answering("done", "");
        publish(RequestKind.UNSAFE, 2, ROUTE_TIMEOUT_MILLIS, target);
        try (Socket socket = connect()) {
            ScriptedTarget.write(
                    socket, "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: k\r\nContent-Length: 9\r\n\r\nhalf");
            CompletableFuture<Void> stopped = startStop();
            assertThat(readAll(socket.getInputStream()))
                    .startsWith("HTTP/1.1 503")
                    .contains("Connection: close")
                    .contains("Retry-After: ");
            stopped.join();
        }
        assertThat(target.heads).isEmpty();
        assertThat(log.awaitLine(DecisionKind.INTERRUPTED, "a1")).contains("\"disconnect\":\"shutdown\"");
    }

    @Test
    void a_request_whose_head_is_still_being_received_at_the_end_is_refused() throws Exception {
        publish(RequestKind.UNSAFE, 2, ROUTE_TIMEOUT_MILLIS, answering("done", ""));
        try (Socket socket = connect()) {
            ScriptedTarget.write(socket, "POST /x/1 HTTP/1.1\r\nHost: h\r\n");
            CompletableFuture<Void> stopped = startStop();
            assertThat(readAll(socket.getInputStream()))
                    .startsWith("HTTP/1.1 503")
                    .contains("Connection: close");
            stopped.join();
        }
    }

    @Test
    void requests_behind_one_that_is_answered_during_a_stop_get_answers_of_their_own() throws Exception {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            await(release);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\n" + id);
            return true;
        }));
        publish(RequestKind.UNSAFE, 2, 1_000, target);
        try (Socket socket = connect()) {
            ScriptedTarget.write(socket, request("a1", "") + request("a2", "") + request("a3", ""));
            awaitRequests(target, 1);
            CompletableFuture<Void> stopped = startStop();
            release.countDown();
            assertThat(readResponse(socket)).endsWith("a1").doesNotContain("Connection: close");
            assertThat(readResponse(socket)).endsWith("a2").doesNotContain("Connection: close");
            assertThat(readResponse(socket)).endsWith("a3").contains("Connection: close");
            stopped.join();
        }
    }

    @Test
    void a_request_after_a_stream_that_promised_a_further_response_is_answered() throws Exception {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            String event = "id: 1\ndata: x\n\n";
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 30\r\n\r\n" + event);
            await(release);
            ScriptedTarget.write(socket, "id: 2\ndata: x\n\n");
            return true;
        }));
        publish(RequestKind.STREAM, 1, 1_500, target);
        try (Socket socket = connect()) {
            send(socket, "a1", "");
            String head = ScriptedTarget.readHead(socket.getInputStream());
            assertThat(head).startsWith("HTTP/1.1 200").doesNotContain("Connection: close");
            CompletableFuture<Void> stopped = startStop();
            release.countDown();
            readUntil(socket, "0\r\n\r\n");
            send(socket, "a2", "");
            assertThat(readAll(socket.getInputStream()))
                    .startsWith("HTTP/1.1 200")
                    .contains("Connection: close")
                    .endsWith("0\r\n\r\n");
            stopped.join();
        }
    }

    /** Signals and configuration changes may come at any time during a stop. */
    @Test
    void a_second_stop_and_a_configuration_change_during_a_stop_cut_nothing() throws Exception {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            await(release);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\ndone");
            return true;
        }));
        publish(RequestKind.UNSAFE, 2, ROUTE_TIMEOUT_MILLIS, target);
        try (Socket socket = connect()) {
            send(socket, "a1", "");
            awaitRequests(target, 1);
            CompletableFuture<Void> first = startStop();
            CompletableFuture<Void> second = startStop();
            publish(RequestKind.UNSAFE, 1, ROUTE_TIMEOUT_MILLIS, target);
            release.countDown();
            assertThat(readAll(socket.getInputStream())).endsWith("done");
            first.join();
            second.join();
        }
        assertThat(log.lines(DecisionKind.STOP)).hasSize(1);
    }

    private CompletableFuture<Void> startStop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        reactor.submit(() -> {
                    gateway.stop().whenComplete(() -> stopped.complete(null));
                    return Promise.complete();
                })
                .join();
        return stopped;
    }

    private boolean awaitRelease() {
        await(release);
        return false;
    }

    private Socket connect() throws IOException {
        return new Socket(callerAddress.host(), callerAddress.port());
    }

    private static void awaitRequests(ScriptedTarget target, int count) {
        while (target.heads.size() < count) {
            pause();
        }
    }

    private static void send(Socket socket, String id, String body) throws IOException {
        ScriptedTarget.write(socket, request(id, body));
    }

    private static String request(String id, String body) {
        return "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nKey: k\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    /** Reads one response with a length. */
    private static String readResponse(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        String head = ScriptedTarget.readHead(input);
        if (head == null) {
            return "";
        }
        int length = Integer.parseInt(ScriptedTarget.field(head, "Content-Length"));
        return head + new String(input.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    private static void readUntil(Socket socket, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(end)) {
            int next = socket.getInputStream().read();
            assertThat(next).as("after %s", read).isNotNegative();
            read.append((char) next);
        }
    }
}

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against the end of a crashed target's connection that is taken for the end of its response. */
class CloseDelimitedResponseTest extends GatewayFixture {
    private static final String BEGUN_RESPONSE = "\r\n\r\nab";
    private static final String BEGUN_STREAM = "\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final AtomicBoolean firstRequest = new AtomicBoolean(true);

    @Test
    void a_response_cut_by_a_crash_is_not_complete_for_its_caller() throws Exception {
        publish(RequestKind.UNSAFE, 1, crashingAfter(BEGUN_RESPONSE));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_response_cut_by_a_crash_is_fetched_from_another_target() throws Exception {
        publish(RequestKind.IDEMPOTENT, 2, crashingAfter(BEGUN_RESPONSE), crashingAfter(BEGUN_RESPONSE));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
    }

    @Test
    void a_stream_cut_between_two_events_is_not_complete_for_its_caller() throws Exception {
        publish(RequestKind.STREAM, 1, crashingAfter(BEGUN_STREAM));
        assertThat(call("POST", "one", "body")).contains("data: a").doesNotEndWith(LAST_CHUNK);
    }

    /** Guards against bytes that are no answer to a check being taken for a sign of life. */
    @ParameterizedTest
    @ValueSource(strings = {"Na me: x\r\n", "Na\0me: x\r\n", "Key: \1\r\n", "Content-Length: 0\r\n"})
    void a_response_is_not_complete_if_its_target_answers_a_check_with_a_malformed_head(String field) throws Exception {
        ScriptedTarget target = closingAfter(BEGUN_RESPONSE);
        target.onCheck((expected, socket) -> {
            ScriptedTarget.write(
                    socket, ScriptedTarget.answerOf(expected).replace("Content-Length", field + "Content-Length"));
            return true;
        });
        publish(RequestKind.UNSAFE, 1, 4_000, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "600", "999", "2000", "+200"})
    void a_response_is_not_complete_if_its_target_answers_a_check_with_an_invalid_status(String status)
            throws Exception {
        ScriptedTarget target = closingAfter(BEGUN_RESPONSE);
        target.onCheck((expected, socket) -> {
            ScriptedTarget.write(socket, ScriptedTarget.answerOf(expected).replace("200", status));
            return true;
        });
        publish(RequestKind.UNSAFE, 1, 4_000, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** Guards against a probe without an outcome that is taken for a sign of life. */
    @Test
    void a_response_is_not_complete_while_its_target_accepts_no_connection() throws Exception {
        try (FullBacklogTarget target = FullBacklogTarget.answeringOnce(BEGUN_RESPONSE)) {
            publish(RequestKind.UNSAFE, 1, 4_000, List.of(target.address()));
            assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void a_response_is_complete_while_its_target_lives() throws Exception {
        publish(RequestKind.UNSAFE, 1, closingAfter("\r\n\r\nwhole"));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
    }

    @Test
    void a_stream_is_complete_while_its_target_lives() throws Exception {
        publish(RequestKind.STREAM, 1, closingAfter(BEGUN_STREAM));
        assertThat(call("POST", "one", "body")).contains("data: a").endsWith(LAST_CHUNK);
    }

    /** Guards against a crash while a target leaves that is taken for the planned end of its response. */
    @ParameterizedTest
    @EnumSource(names = {"UNSAFE", "IDEMPOTENT"})
    void a_response_cut_by_the_crash_of_a_leaving_target_is_not_complete_for_its_caller(RequestKind kind)
            throws Exception {
        publish(kind, 1, leavingTarget(kind, BEGUN_RESPONSE, ScriptedTarget::crash));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_stream_cut_by_the_crash_of_a_leaving_target_is_not_complete_for_its_caller() throws Exception {
        publish(RequestKind.STREAM, 1, leavingTarget(RequestKind.STREAM, BEGUN_STREAM, ScriptedTarget::crash));
        assertThat(call("POST", "one", "body")).contains("data: a").doesNotEndWith(LAST_CHUNK);
    }

    /** Guards against a probe that a crashing process still accepts, as it closes its port after its connections. */
    @Test
    void a_response_is_not_complete_if_its_target_closes_its_port_late() throws Exception {
        publish(RequestKind.UNSAFE, 1, endingAfter(BEGUN_RESPONSE, target -> {}, ScriptedTarget::crashWithLatePort));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_response_is_not_complete_if_its_leaving_target_closes_its_port_late() throws Exception {
        publish(
                RequestKind.UNSAFE,
                1,
                leavingTarget(RequestKind.UNSAFE, BEGUN_RESPONSE, ScriptedTarget::crashWithLatePort));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** Guards against an address that accepts connections being taken for a target that lives. */
    @ParameterizedTest
    @EnumSource(names = {"UNSAFE", "IDEMPOTENT"})
    void a_response_is_not_complete_while_its_target_accepts_connections_and_answers_none(RequestKind kind)
            throws Exception {
        publishWithTimeout(kind, endingAfter(BEGUN_RESPONSE, target -> {}, ScriptedTarget::hang));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_response_is_not_complete_while_its_leaving_target_accepts_connections_and_answers_none() throws Exception {
        publishWithTimeout(RequestKind.UNSAFE, leavingTarget(RequestKind.UNSAFE, BEGUN_RESPONSE, ScriptedTarget::hang));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** Guards against a successor at a crashed target's address being taken for that target. */
    @ParameterizedTest
    @EnumSource(names = {"UNSAFE", "IDEMPOTENT"})
    void a_response_cut_by_a_crash_is_not_complete_for_its_caller_if_a_successor_has_the_address(RequestKind kind)
            throws Exception {
        publish(kind, 1, endingAfter(BEGUN_RESPONSE, target -> {}, this::crashAndStartSuccessor));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_stream_cut_between_two_events_is_not_complete_for_its_caller_if_a_successor_has_the_address()
            throws Exception {
        publish(RequestKind.STREAM, 1, endingAfter(BEGUN_STREAM, target -> {}, this::crashAndStartSuccessor));
        assertThat(call("POST", "one", "body")).contains("data: a").doesNotEndWith(LAST_CHUNK);
    }

    @Test
    void a_response_cut_by_the_crash_of_a_leaving_target_is_not_complete_if_a_successor_has_the_address()
            throws Exception {
        publish(RequestKind.UNSAFE, 1, leavingTarget(RequestKind.UNSAFE, BEGUN_RESPONSE, this::crashAndStartSuccessor));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** Guards against an answer that its sender did not live to complete being taken for a sign of life. */
    @Test
    void a_response_is_not_complete_if_its_target_crashes_before_it_names_itself() throws Exception {
        ScriptedTarget target = endingAfter(BEGUN_RESPONSE, each -> {}, each -> {});
        target.onCheck((expected, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nNam");
            target.crash();
            return false;
        });
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** Guards against a sign of life of a target being used for a response that it ended only later. */
    @Test
    void a_response_cut_by_a_crash_is_not_complete_although_another_one_was_complete_before() throws Exception {
        ScriptedTarget target = endingAfter("", each -> {}, each -> {}, "\r\n\r\nwhole", BEGUN_RESPONSE);
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
        target.onCheck((expected, socket) -> {
            target.crash();
            return false;
        });
        assertThat(call("POST", "two", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_response_that_ends_with_a_reset_is_not_complete() throws Exception {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + BEGUN_RESPONSE);
            ScriptedTarget.reset(socket);
            return false;
        }));
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** A target that closes a connection with unread bytes resets it. */
    @Test
    void a_response_that_ends_before_its_request_was_read_is_not_complete() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread acceptor = new Thread(() -> beginResponseUnread(server));
            acceptor.start();
            publishWithTimeout(RequestKind.UNSAFE, "127.0.0.1:" + server.getLocalPort());
            assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
            acceptor.join();
        }
    }

    /** Accepts a connection, begins a response and closes both, without having read the request. */
    private static void beginResponseUnread(ServerSocket server) {
        try (server;
                Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read()).isPositive();
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: one" + BEGUN_RESPONSE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a connection that its target closes in one direction only, and then crashes. */
    @Test
    void a_half_closed_response_is_complete_only_while_its_target_lives() throws Exception {
        ScriptedTarget target = endingAfter("", each -> {}, each -> {}, "\r\n\r\nwhole", BEGUN_RESPONSE);
        target.closeOutputOnly();
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
        target.onCheck((expected, socket) -> {
            target.crash();
            return false;
        });
        assertThat(call("POST", "two", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_response_without_a_byte_of_its_body_is_complete_only_while_its_target_lives() throws Exception {
        ScriptedTarget target = endingAfter("\r\n\r\n", each -> {}, each -> {});
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200");
        target.onCheck((expected, socket) -> {
            target.crash();
            return false;
        });
        assertThat(call("POST", "two", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_connection_that_ends_before_the_response_begins_is_no_response() throws Exception {
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> false)));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** Guards against a target that was not known to leave being taken for one that ended as planned. */
    @Test
    void a_response_cut_by_a_crash_is_not_complete_if_the_gateway_was_not_told_that_the_target_leaves()
            throws Exception {
        publish(RequestKind.UNSAFE, 1, endingAfter(BEGUN_RESPONSE, target -> {}, target -> {
            target.crash();
            awaitEndOfConnection();
            publishLeft(RequestKind.UNSAFE, target);
        }));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** Guards against a departure that is published after the response was given up. */
    @Test
    void a_response_is_not_complete_if_the_departure_of_its_target_is_published_too_late() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        ScriptedTarget target = leavingTarget(RequestKind.UNSAFE, BEGUN_RESPONSE, each -> {
            each.crash();
            await(answered);
            publishLeft(RequestKind.UNSAFE, each);
        });
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
        answered.countDown();
    }

    /** Guards against a target without a free slot being taken for one that has crashed. */
    @Test
    void a_response_is_complete_although_its_target_answers_late() throws Exception {
        CountDownLatch freeSlot = new CountDownLatch(1);
        ScriptedTarget target = endingAfter("\r\n\r\nwhole", each -> {}, each -> {});
        target.onCheck((expected, socket) -> {
            await(freeSlot, 500);
            ScriptedTarget.write(socket, ScriptedTarget.answerOf(expected));
            return true;
        });
        publishWithTimeout(RequestKind.UNSAFE, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
    }

    @Test
    void a_response_is_complete_although_its_target_first_rejects_the_check() throws Exception {
        ScriptedTarget target = endingAfter("\r\n\r\nwhole", each -> {}, each -> {});
        target.onCheck((expected, socket) -> {
            boolean first = target.checks.size() == 1;
            ScriptedTarget.write(
                    socket,
                    first
                            ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                            : ScriptedTarget.answerOf(expected));
            return true;
        });
        publishWithTimeout(RequestKind.UNSAFE, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
        assertThat(target.checks).hasSize(2);
    }

    /** Guards against a response without length that costs more than one health request. */
    @Test
    void a_response_costs_one_health_request_while_its_target_lives() throws Exception {
        ScriptedTarget target = closingAfter("\r\n\r\nwhole");
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200");
        assertThat(target.checks).containsExactly("t-" + target.address());
    }

    @Test
    void a_response_is_complete_while_its_leaving_target_lives() throws Exception {
        publish(RequestKind.UNSAFE, 1, leavingTarget(RequestKind.UNSAFE, "\r\n\r\nwhole", target -> {}));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
    }

    /** Guards against a whole response being discarded because its target ended, as planned, right after it. */
    @Test
    void a_response_is_complete_if_its_leaving_target_has_deregistered_and_ended() throws Exception {
        publish(RequestKind.UNSAFE, 1, leavingTarget(RequestKind.UNSAFE, "\r\n\r\nwhole", target -> {
            target.crash();
            awaitEndOfConnection();
            publishLeft(RequestKind.UNSAFE, target);
        }));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
    }

    /** Guards against the removal of a crashed target, such as by its successor, being taken for its planned end. */
    @Test
    void a_response_cut_by_the_crash_of_a_leaving_target_is_not_complete_although_the_target_is_removed()
            throws Exception {
        publish(RequestKind.UNSAFE, 1, leavingTarget(RequestKind.UNSAFE, BEGUN_RESPONSE, target -> {
            target.crash();
            awaitEndOfConnection();
            publishRemoved(RequestKind.UNSAFE);
        }));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    /** Guards against a departure that is published during the check of its target being missed. */
    @Test
    void a_response_is_complete_if_its_leaving_target_has_left_before_the_check_ends() throws Exception {
        publish(RequestKind.UNSAFE, 1, leavingTarget(RequestKind.UNSAFE, "\r\n\r\nwhole", target -> {
            target.onCheck((expected, socket) -> {
                publishLeft(RequestKind.UNSAFE, target);
                target.crash();
                return false;
            });
        }));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
    }

    /** Guards against a departure that was published before its target crashed and is taken for its planned end. */
    @Test
    void a_response_is_not_complete_if_its_target_had_deregistered_before_it_ended() throws Exception {
        publish(
                RequestKind.UNSAFE,
                1,
                endingAfter(
                        BEGUN_RESPONSE,
                        target -> {
                            publishLeaving(RequestKind.UNSAFE, target);
                            publishLeft(RequestKind.UNSAFE, target);
                        },
                        ScriptedTarget::crash));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    private void awaitEndOfConnection() {
        while (!new String(metrics.metricsText(), StandardCharsets.UTF_8)
                .contains("bankturn_close_delimited_responses_total{service=\"chat\"}")) {
            Thread.onSpinWait();
        }
    }

    /** What a target does before or after it has written its response. */
    @FunctionalInterface
    private interface TargetAction {
        void run(ScriptedTarget target) throws IOException;
    }

    /** Returns a target that announces that it leaves while it responds, and then acts in the given way. */
    private ScriptedTarget leavingTarget(RequestKind kind, String text, TargetAction after) throws IOException {
        return endingAfter(text, target -> publishLeaving(kind, target), after);
    }

    /** Returns a target that writes a response, the given one or one after the other, and then acts in the given way. */
    private ScriptedTarget endingAfter(String text, TargetAction before, TargetAction after, String... inTurn)
            throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = register(new ScriptedTarget((number, id, socket) -> {
            before.run(self[0]);
            String next = inTurn.length == 0 ? text : inTurn[number - 1];
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + next);
            after.run(self[0]);
            return false;
        }));
        return self[0];
    }

    private void crashAndStartSuccessor(ScriptedTarget target) throws IOException {
        register(target.crashAndSucceed("t-successor", (number, id, socket) -> false));
    }

    /** Publishes a target whose route has one attempt and time for a check that ends undecided. */
    private void publishWithTimeout(RequestKind kind, ScriptedTarget target) {
        publishWithTimeout(kind, target.address());
    }

    private void publishWithTimeout(RequestKind kind, String address) {
        publish(kind, 1, 4_000, List.of(address));
    }

    /** Returns a target that begins its response and crashes if no other target crashed before it. */
    private ScriptedTarget crashingAfter(String text) throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = register(new ScriptedTarget((number, id, socket) -> {
            boolean crashes = firstRequest.getAndSet(false);
            String rest = crashes ? text : "\r\nContent-Length: 5\r\n\r\nwhole";
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + rest);
            if (crashes) {
                self[0].crash();
            }
            return !crashes;
        }));
        return self[0];
    }

    private ScriptedTarget closingAfter(String text) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + text);
            return false;
        }));
    }
}

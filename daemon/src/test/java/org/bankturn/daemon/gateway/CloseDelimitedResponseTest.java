package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

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
            publishLeaving(RequestKind.UNSAFE, target, true);
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
                            publishLeaving(RequestKind.UNSAFE, target, false);
                            publishLeaving(RequestKind.UNSAFE, target, true);
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
        return endingAfter(text, target -> publishLeaving(kind, target, false), after);
    }

    private ScriptedTarget endingAfter(String text, TargetAction before, TargetAction after) throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = register(new ScriptedTarget((number, id, socket) -> {
            before.run(self[0]);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + text);
            after.run(self[0]);
            return false;
        }));
        return self[0];
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

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against crashes that do not count against the request that caused them, because the attempt ended otherwise than
 * by a connection that the target closed.
 */
class CrashUnseenByAttemptTest extends GatewayFixture {
    private static final int CALLS = 12;
    private static final int MAX_TARGETS = 44;
    private static final int CRASHES_TO_CONDEMN = 3;

    /** How often a request may still be sent once three targets have crashed. */
    private static final int ALLOWED_LATER = 3;

    private static final long SHORT_TIMEOUT_MILLIS = 300;
    private static final String CRASHING_BODY = "deadly";

    private final AtomicInteger crashes = new AtomicInteger();

    /** What a target does with a request that crashes it. */
    private interface Crash {
        void run(ScriptedTarget target, String id, Socket socket) throws IOException;
    }

    @Test
    void the_deadline_passes_while_the_crashed_target_is_silent() throws Exception {
        publishCrashing(RequestKind.IDEMPOTENT, 1, (target, id, socket) -> target.crashSilently());
        callRepeatedly();
        assertCondemned();
    }

    @Test
    void the_deadline_passes_while_the_crashed_target_is_silent_and_attempts_are_left() throws Exception {
        publishCrashing(RequestKind.IDEMPOTENT, 2, (target, id, socket) -> target.crashSilently());
        callRepeatedly();
        assertCondemned();
    }

    @Test
    void the_crashed_target_is_silent_under_a_request_that_must_not_be_repeated() throws Exception {
        publishCrashing(RequestKind.UNSAFE, 1, (target, id, socket) -> target.crashSilently());
        callRepeatedly();
        assertCondemned();
    }

    @Test
    void the_target_crashes_once_the_deadline_has_ended_the_attempt() throws Exception {
        publishCrashing(RequestKind.IDEMPOTENT, 2, (target, id, socket) -> {
            ScriptedTarget.awaitClose(socket);
            target.crash();
        });
        callRepeatedly();
        assertCondemned();
    }

    @Test
    void the_target_crashes_after_a_stream_has_ended_at_the_deadline() throws Exception {
        publishCrashing(RequestKind.STREAM, 1, (target, id, socket) -> {
            EventStream.begin(socket, id);
            EventStream.writeEvents(socket, 1, 1);
            ScriptedTarget.awaitClose(socket);
            target.crash();
        });
        callRepeatedly();
        assertCondemned();
    }

    @Test
    void the_target_crashes_after_a_complete_response_with_status_500() throws Exception {
        publishCrashing(RequestKind.IDEMPOTENT, 2, (target, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 500 Error\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nno");
            target.crash();
        });
        callRepeatedly();
        assertCondemned();
    }

    @Test
    void the_target_crashes_after_a_complete_response() throws Exception {
        publishCrashing(RequestKind.IDEMPOTENT, 2, (target, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            target.crash();
        });
        callRepeatedly();
        assertCondemned();
    }

    @Test
    void the_target_crashes_after_the_caller_has_left() throws Exception {
        publishCrashing(RequestKind.IDEMPOTENT, 2, 4_000, (target, id, socket) -> {
            ScriptedTarget.awaitClose(socket);
            target.crash();
        });
        for (int call = 0; call < CALLS; call++) {
            leaveOnceReceived("r" + call);
        }
        assertCondemned();
    }

    private void publishCrashing(RequestKind kind, int attempts, Crash crash) throws IOException {
        publishCrashing(kind, attempts, SHORT_TIMEOUT_MILLIS, crash);
    }

    private void publishCrashing(RequestKind kind, int attempts, long timeoutMillis, Crash crash) throws IOException {
        ScriptedTarget[] crashing = new ScriptedTarget[MAX_TARGETS];
        for (int index = 0; index < crashing.length; index++) {
            crashing[index] = register(crashingTarget(crash));
        }
        publish(kind, attempts, timeoutMillis, crashing);
    }

    private ScriptedTarget crashingTarget(Crash crash) throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            if (self[0].bodies.get(number - 1).equals(CRASHING_BODY)) {
                crashes.incrementAndGet();
                crash.run(self[0], id, socket);
                return false;
            }
            EventStream.begin(socket, id);
            EventStream.writeEvents(socket, 1, EventStream.EVENTS);
            EventStream.end(socket);
            return true;
        });
        return self[0];
    }

    private void callRepeatedly() throws IOException {
        for (int call = 0; call < CALLS; call++) {
            call("POST", "r" + call, CRASHING_BODY);
        }
    }

    /** Sends the request and closes the connection once a further target has received it, or it was answered. */
    private void leaveOnceReceived(String id) throws IOException {
        int before = crashes.get();
        try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
            ScriptedTarget.write(
                    socket,
                    "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nDeadline: 5000\r\nKey: k\r\nContent-Length: "
                            + CRASHING_BODY.length() + "\r\n\r\n" + CRASHING_BODY);
            while (crashes.get() == before && socket.getInputStream().available() == 0) {
                Thread.onSpinWait();
            }
        }
    }

    private void assertCondemned() throws IOException {
        assertThat(crashes.get()).isBetween(CRASHES_TO_CONDEMN, CRASHES_TO_CONDEMN + ALLOWED_LATER);
        assertThat(call("POST", "last", CRASHING_BODY)).startsWith("HTTP/1.1 429");
        assertThat(call("POST", "sound", "other")).startsWith("HTTP/1.1 200");
    }
}

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/** Guards against a second copy of a response, sent late, that is taken for the response to another request. */
class LateSecondResponseTest extends GatewayFixture {
    private static final String REJECTION = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

    /** The connections on which a target sent a response that must not be followed by another request. */
    private final List<Socket> ended = new CopyOnWriteArrayList<>();

    /** Guards against the late copy of a health answer, which has no request id, being passed on as a success. */
    @Test
    void a_late_copy_of_a_health_answer_is_no_response() throws Exception {
        AtomicReference<Socket> checked = new AtomicReference<>();
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            if (socket == checked.get()) {
                ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
            boolean endsAtClose = number == 1;
            ScriptedTarget.write(socket, endsAtClose ? endingAtClose(id) : whole(id));
            return !endsAtClose;
        }));
        target.onCheck((expected, socket) -> {
            checked.set(socket);
            ScriptedTarget.write(socket, ScriptedTarget.answerOf(expected));
            return true;
        });
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "one", "x")).startsWith("HTTP/1.1 200").endsWith("for one");
        assertThat(call("POST", "two", "x")).startsWith("HTTP/1.1 200").endsWith("for two");
        assertThat(target.checks).hasSize(1);
    }

    /** Guards against a request that a target is running being reported as rejected. */
    @Test
    void a_late_copy_of_a_rejection_is_no_response() throws Exception {
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> {
            boolean first = number == 1;
            if (ended.contains(socket)) {
                ScriptedTarget.write(socket, REJECTION);
            }
            ended.add(socket);
            ScriptedTarget.write(socket, first ? REJECTION : whole(id));
            return true;
        })));
        assertThat(call("POST", "one", "x")).startsWith("HTTP/1.1 503");
        awaitSuccess("two");
    }

    /** Guards against the copy of a rejection that is taken for the outcome of the same request's repetition. */
    @Test
    void a_late_copy_of_a_rejection_with_an_id_is_no_response_to_a_repetition() throws Exception {
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> {
            String rejection = "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            boolean first = number == 1;
            if (ended.contains(socket)) {
                ScriptedTarget.write(socket, rejection);
            }
            ended.add(socket);
            ScriptedTarget.write(socket, first ? rejection : whole(id));
            return true;
        })));
        assertThat(call("POST", "one", "x")).startsWith("HTTP/1.1 503");
        awaitSuccess("one");
    }

    @Test
    void a_late_copy_of_a_failure_is_no_response() throws Exception {
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> {
            String failure = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
            boolean first = number == 1;
            if (ended.contains(socket)) {
                ScriptedTarget.write(socket, failure);
            }
            ended.add(socket);
            ScriptedTarget.write(socket, first ? failure : whole(id));
            return true;
        })));
        assertThat(call("POST", "one", "x")).startsWith("HTTP/1.1 500");
        awaitSuccess("two");
    }

    @Test
    void a_late_copy_of_a_response_without_an_id_is_no_response() throws Exception {
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> {
            if (ended.contains(socket)) {
                ScriptedTarget.write(socket, withoutId("another"));
            }
            ended.add(socket);
            ScriptedTarget.write(socket, withoutId(id));
            return true;
        })));
        assertThat(call("POST", "one", "x")).startsWith("HTTP/1.1 200").endsWith("for one");
        assertThat(call("POST", "two", "x")).startsWith("HTTP/1.1 200").endsWith("for two");
    }

    @Test
    void a_success_without_an_id_is_no_response_of_a_target_that_sends_ids() throws Exception {
        Map<Socket, Integer> requests = new ConcurrentHashMap<>();
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> {
            if (requests.merge(socket, 1, Integer::sum) == 2) {
                ScriptedTarget.write(socket, withoutId("another"));
            }
            ScriptedTarget.write(socket, whole(id));
            return true;
        })));
        assertThat(call("POST", "one", "x")).startsWith("HTTP/1.1 200").endsWith("for one");
        assertThat(call("POST", "two", "x")).startsWith("HTTP/1.1 200").endsWith("for two");
        assertThat(requests.values()).containsExactly(2);
        assertThat(log.awaitLine(DecisionKind.FOREIGN, "two")).contains("\"reason\":\"missing_id\"");
        assertThat(call("POST", "three", "x")).startsWith("HTTP/1.1 200").endsWith("for three");
        assertThat(requests.values()).containsExactlyInAnyOrder(2, 1);
    }

    @Test
    void a_late_copy_of_a_response_is_no_response_to_the_next_request() throws Exception {
        List<String> responses = new ArrayList<>();
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> {
            if (number == 2) {
                ScriptedTarget.write(socket, responses.get(0));
            }
            responses.add(whole(id));
            ScriptedTarget.write(socket, whole(id));
            return true;
        })));
        assertThat(call("POST", "one", "x")).startsWith("HTTP/1.1 200").endsWith("for one");
        assertThat(call("POST", "two", "x")).startsWith("HTTP/1.1 200").endsWith("for two");
        assertThat(log.awaitLine(DecisionKind.FOREIGN, "two")).contains("\"reason\":\"other_id\"");
    }

    /** Sends a request until it is not rejected because its target is avoided for a while. */
    private void awaitSuccess(String id) throws IOException {
        String response = call("POST", id, "x");
        while (targets.get(0).heads.size() < 2) {
            pause();
            response = call("POST", id, "x");
        }
        assertThat(response).startsWith("HTTP/1.1 200").endsWith("for " + id);
    }

    private static String whole(String id) {
        String body = "for " + id;
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String withoutId(String id) {
        String body = "for " + id;
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String endingAtClose(String id) {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nfor " + id;
    }
}

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/** What a gateway does with one request whose targets answer, fail, or fall silent. */
class GatewayTest extends GatewayFixture {
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

    private ScriptedTarget refusingFirst() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket,
                    number == 1
                            ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                            : "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
    }

    private ScriptedTarget alwaysRefusing() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
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
        return register(target);
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
        return register(target);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static List<String> eventsOf(String answer) {
        return answer.lines()
                .filter(line -> line.startsWith("id: "))
                .map(line -> line.substring(4))
                .toList();
    }
}

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Callers close their connections wherever their request is: before it is read, at a target that says nothing yet, within the
 * answer, and while it is about to go to another target. Nothing of it reaches a target afterwards, and the target that has
 * it is told, so that no engine works for nobody.
 */
class CallersThatLeaveTest extends GatewayFixture {
    private static final String REQUEST = "GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nDeadline: 20000\r\nKey: k\r\n";

    private final CountDownLatch told = new CountDownLatch(1);

    @Test
    void a_request_of_which_the_caller_sent_a_part_only_reaches_no_target() throws Exception {
        ScriptedTarget target = answering("here", "");
        publish(RequestKind.IDEMPOTENT, 2, target);
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            ScriptedTarget.write(socket, REQUEST + "Content-Length: 100\r\n\r\npart");
        }
        assertThat(call("GET", "after", "")).endsWith("here");
        assertThat(target.heads).hasSize(1).allMatch(head -> head.contains("after"));
    }

    @Test
    void a_target_that_says_nothing_yet_is_told() throws Exception {
        ScriptedTarget target = keep(new ScriptedTarget((number, id, socket) -> untilClosed(socket)));
        publish(RequestKind.IDEMPOTENT, 2, target);
        leaveOnceAt(target);
        assertThat(told.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(target.heads).hasSize(1);
    }

    @Test
    void a_target_within_its_answer_is_told() throws Exception {
        ScriptedTarget target = keep(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 100\r\n\r\nthe first part");
            return untilClosed(socket);
        }));
        publish(RequestKind.IDEMPOTENT, 2, target);
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            ScriptedTarget.write(socket, REQUEST + "\r\n");
            assertThat(socket.getInputStream().read()).isPositive();
        }
        assertThat(told.await(20, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void a_request_whose_target_breaks_off_after_the_caller_left_goes_to_no_other() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        ScriptedTarget one = keep(new ScriptedTarget((number, id, socket) -> {
            await(left);
            pause();
            ScriptedTarget.reset(socket);
            return false;
        }));
        ScriptedTarget other = keep(new ScriptedTarget((number, id, socket) -> {
            await(left);
            pause();
            ScriptedTarget.reset(socket);
            return false;
        }));
        publish(RequestKind.IDEMPOTENT, 2, one, other);
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            ScriptedTarget.write(socket, REQUEST + "\r\n");
            while (one.heads.size() + other.heads.size() == 0) {
                pause();
            }
        }
        left.countDown();
        // what the gateway did with the first request shows before a later one is answered
        call("GET", "after", "");
        assertThat(one.heads.size() + other.heads.size()).isLessThanOrEqualTo(3);
        assertThat(one.heads.stream().filter(head -> head.contains("Id: a1")).count()
                        + other.heads.stream()
                                .filter(head -> head.contains("Id: a1"))
                                .count())
                .isEqualTo(1);
    }

    private void leaveOnceAt(ScriptedTarget target) throws IOException {
        try (Socket socket = new Socket(callers.host(), callers.port())) {
            ScriptedTarget.write(socket, REQUEST + "\r\n");
            while (target.heads.isEmpty()) {
                pause();
            }
        }
    }

    private boolean untilClosed(Socket socket) throws IOException {
        if (socket.getInputStream().read() < 0) {
            told.countDown();
        }
        return false;
    }
}

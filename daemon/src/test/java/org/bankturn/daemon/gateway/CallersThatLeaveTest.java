package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.EngineModel;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.junit.jupiter.api.Test;

/**
 * Callers close their connections wherever their request is: before it is read, at a target that says nothing yet, within the
 * answer, and while it is about to go to another target. Nothing of it reaches a target afterwards, and the target that has
 * it is told, so that no engine works for nobody.
 */
class CallersThatLeaveTest extends GatewayFixture {
    private static final String REQUEST = "GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nDeadline: 20000\r\nKey: k\r\n";

    private static final int CALLERS = 24;
    private static final int MOST_LOOKS = 500;

    private final CountDownLatch told = new CountDownLatch(1);
    private final AtomicInteger closed = new AtomicInteger();

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

    /** The connection is given up after 0.4 s, and the request would then go to the other target. */
    @Test
    void a_request_that_waits_for_a_connection_as_its_caller_leaves_reaches_no_target() throws Exception {
        ScriptedTarget other = answering("here", "");
        try (DeafTarget deaf = DeafTarget.start()) {
            publish(RequestKind.IDEMPOTENT, 2, 2_000, List.of(deaf.address()));
            try (Socket socket = new Socket(callers.host(), callers.port())) {
                ScriptedTarget.write(socket, REQUEST + "\r\n");
                await(new CountDownLatch(1), 100);
            }
            publish(RequestKind.IDEMPOTENT, 2, 2_000, List.of(deaf.address(), other.address()));
            await(new CountDownLatch(1), 800);
        }
        publish(RequestKind.IDEMPOTENT, 2, other);
        assertThat(call("GET", "after", "")).endsWith("here");
        assertThat(other.heads).hasSize(1).allMatch(head -> head.contains("after"));
    }

    /** If the caller's end is seen only once the request has left, the engine is told. */
    @Test
    void a_request_that_waits_for_news_of_load_as_its_caller_leaves_keeps_no_engine_at_work() throws Exception {
        ScriptedTarget engine = keep(new ScriptedTarget((number, id, socket) -> untilClosed(socket)));
        try (ServerSocket silentProcess = new ServerSocket(node.port(), 50, InetAddress.getByName(node.host()))) {
            publishEngine(engine);
            for (int number = 0; number < CALLERS; number++) {
                try (Socket socket = new Socket(callers.host(), callers.port())) {
                    ScriptedTarget.write(socket, REQUEST + "\r\n");
                    await(new CountDownLatch(1), number);
                }
            }
            await(new CountDownLatch(1), 500);
            assertThat(silentProcess.isBound()).isTrue();
        }
        for (int look = 0; look < MOST_LOOKS && closed.get() < engine.heads.size(); look++) {
            pause();
        }
        assertThat(closed.get()).isEqualTo(engine.heads.size());
    }

    private void publishEngine(ScriptedTarget engine) {
        EngineModel model = new EngineModel(8, 317_000, 13.9, 0.03, 0.05, 13.8, 2_048, 5, 70);
        Service service = new Service("chat", "/health", 100, model, null, null, null);
        TargetSighting sighting = new TargetSighting("e", "chat", engine.address(), "north", 4, false, 1, 1);
        update(
                new PublishedState(
                        1,
                        configuration(RequestKind.IDEMPOTENT, 2, 2_000, service),
                        List.of(),
                        Map.of("e", sighting),
                        List.of(),
                        true),
                clock.millis());
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
            closed.incrementAndGet();
            told.countDown();
        }
        return false;
    }
}

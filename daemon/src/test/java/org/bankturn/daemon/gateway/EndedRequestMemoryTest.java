package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against messages of requests that have ended being held until their deadlines, which ended an entry process. */
@Timeout(60)
class EndedRequestMemoryTest {
    /** All messages together exceed the heap of the gateway. */
    private static final int REQUESTS = 200;

    private static final int MESSAGE_BYTES = 1 << 20;

    /** Far less than all messages, and more than what classes and pools take. */
    private static final long MAX_GROWTH_BYTES = 24L << 20;

    private static final long DEADLINE_MILLIS = 60_000;

    private final Address callers = FreeAddresses.next();
    private final Semaphore received = new Semaphore(0);
    private final Semaphore ended = new Semaphore(0);
    private ScriptedTarget target;

    @AfterEach
    void closeTarget() throws IOException {
        target.close();
    }

    @Test
    void bodies_of_answered_requests_are_not_held_until_their_deadlines() throws Exception {
        target = responding("200 OK", "x");
        assertMemoryFreed(MESSAGE_BYTES);
    }

    @Test
    void bodies_of_failed_requests_are_not_held_until_their_deadlines() throws Exception {
        target = responding("500 Broken", "x");
        assertMemoryFreed(MESSAGE_BYTES);
    }

    @Test
    void responses_are_not_held_until_the_deadlines_of_their_requests() throws Exception {
        target = responding("200 OK", "x".repeat(MESSAGE_BYTES));
        assertMemoryFreed(1);
    }

    @Test
    void bodies_of_callers_that_left_are_not_held_until_their_deadlines() throws Exception {
        target = new ScriptedTarget((number, id, socket) -> {
            forget(number);
            received.release();
            ScriptedTarget.awaitClose(socket);
            ended.release();
            return false;
        });
        try (GatewayProcess gateway = GatewayProcess.start(callers, List.of(target.address()))) {
            long before = gateway.usedHeapBytes();
            for (int number = 0; number < REQUESTS; number++) {
                try (Socket socket = new Socket(callers.host(), callers.port())) {
                    ScriptedTarget.write(socket, request(number, MESSAGE_BYTES));
                    received.acquire();
                }
                ended.acquire();
            }
            assertFreed(gateway, before);
        }
    }

    private void assertMemoryFreed(int requestBytes) throws IOException {
        try (GatewayProcess gateway = GatewayProcess.start(callers, List.of(target.address()))) {
            long before = gateway.usedHeapBytes();
            try (Socket socket = new Socket(callers.host(), callers.port())) {
                InputStream input = new BufferedInputStream(socket.getInputStream());
                for (int number = 0; number < REQUESTS; number++) {
                    ScriptedTarget.write(socket, request(number, requestBytes));
                    String head = ScriptedTarget.readHead(input);
                    assertThat(head).as("response %s", number).startsWith("HTTP/1.1 ");
                    input.skipNBytes(Long.parseLong(ScriptedTarget.field(head, "Content-Length")));
                }
                assertFreed(gateway, before);
            }
        }
    }

    private static void assertFreed(GatewayProcess gateway, long before) throws IOException {
        assertThat(gateway.isAlive()).isTrue();
        assertThat(gateway.usedHeapBytes()).isLessThan(before + MAX_GROWTH_BYTES);
    }

    private static String request(int number, int bytes) {
        return "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: r" + number + "\r\nDeadline: " + DEADLINE_MILLIS
                + "\r\nKey: k\r\nContent-Length: " + bytes + "\r\n\r\n" + "b".repeat(bytes);
    }

    private ScriptedTarget responding(String status, String body) throws IOException {
        return new ScriptedTarget((number, id, socket) -> {
            forget(number);
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                            + body);
            return true;
        });
    }

    /** Keeps the target from holding the bodies itself. */
    private void forget(int number) {
        target.bodies.set(number - 1, "");
    }
}

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/** Guards against responses without end that keep a gateway from serving others. */
class EndlessNeighbourTest extends GatewayFixture {
    private static final long HEAP_BYTES = 160L << 20;
    private static final int TARGETS = 20;
    private static final int ENDLESS_CALLERS = 10;
    private static final int SOUND_CALLS = 200;
    private static final String ENDLESS = "endless";

    /** Runs all callers concurrently, regardless of the number of processors. */
    private static final Executor THREAD_PER_CALLER = caller -> new Thread(caller, "caller").start();

    private final AtomicBoolean stopped = new AtomicBoolean();

    @Override
    long heapBytes() {
        return HEAP_BYTES;
    }

    @Test
    void sound_requests_are_served_beside_responses_without_end() throws Exception {
        ScriptedTarget[] targets = new ScriptedTarget[TARGETS];
        for (int index = 0; index < TARGETS; index++) {
            targets[index] = target();
        }
        publish(RequestKind.IDEMPOTENT, 2, targets);
        callSound("alone");
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int number = 0; number < ENDLESS_CALLERS; number++) {
            String name = "e" + number;
            callers.add(CompletableFuture.runAsync(() -> callEndless(name), THREAD_PER_CALLER));
        }
        callSound("beside");
        stopped.set(true);
        callers.forEach(CompletableFuture::join);
    }

    private void callSound(String name) throws IOException {
        long[] tookMillis = new long[SOUND_CALLS];
        for (int number = 0; number < SOUND_CALLS; number++) {
            long since = clock.millis();
            assertThat(call("POST", name + number, name + number)).startsWith("HTTP/1.1 200");
            tookMillis[number] = clock.millis() - since;
        }
        Arrays.sort(tookMillis);
        System.out.printf(
                "%s: %d sound requests served, median %d ms, longest %d ms%n",
                name, SOUND_CALLS, tookMillis[SOUND_CALLS / 2], tookMillis[SOUND_CALLS - 1]);
    }

    private void callEndless(String name) {
        for (int number = 0; !stopped.get(); number++) {
            try {
                assertThat(call("POST", name + "-" + number, ENDLESS + name + number))
                        .startsWith("HTTP/1.1 50");
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private ScriptedTarget target() throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = register(new ScriptedTarget((number, id, socket) -> {
            if (self[0].bodies.get(number - 1).startsWith(ENDLESS)) {
                writeWithoutEnd(id, socket);
            }
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }));
        return self[0];
    }

    private static void writeWithoutEnd(String id, Socket socket) throws IOException {
        ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\n");
        byte[] part = "x".repeat(64 << 10).getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
            socket.getOutputStream().write(part);
        }
    }
}

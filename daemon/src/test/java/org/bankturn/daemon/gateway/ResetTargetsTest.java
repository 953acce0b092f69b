package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.promise.Promise;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against an exception on the reactor's thread when a retry is written to a connection that was reset at the same
 * time as the first one.
 */
class ResetTargetsTest extends GatewayFixture {
    /** Several rounds, because the order in which the gateway notices the two resets is random. */
    private static final int ROUNDS = 10;

    private final Map<String, Socket> sockets = new ConcurrentHashMap<>();
    private final CountDownLatch finished = new CountDownLatch(1);

    @Test
    void a_request_is_retried_when_the_next_connection_fails_during_the_write() throws Exception {
        publish(RequestKind.IDEMPOTENT, 4, 20_000, target(), target(), target(), target());
        for (int round = 0; round < ROUNDS; round++) {
            String held = "held" + round;
            String kept = "kept" + round;
            CompletableFuture<String> answer = callAsync(held);
            awaitSocket(held);
            assertThat(callAsync(kept).get()).startsWith("HTTP/1.1 200");
            resetTogether(held, kept);
            assertThat(answer.get()).startsWith("HTTP/1.1 200");
        }
        finished.countDown();
    }

    /** Returns a target that holds the first response to requests whose id starts with "held". */
    private ScriptedTarget target() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            boolean first = sockets.putIfAbsent(id, socket) == null;
            if (first && id.startsWith("held")) {
                await(finished);
                return false;
            }
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }));
    }

    /** Resets the connections of two requests while the reactor is blocked. */
    private void resetTogether(String one, String other) {
        CountDownLatch stopped = new CountDownLatch(1);
        CountDownLatch reset = new CountDownLatch(1);
        CompletableFuture<Void> blocked = reactor.submit(() -> {
            stopped.countDown();
            await(reset);
            return Promise.complete();
        });
        await(stopped);
        for (String id : new String[] {one, other}) {
            closeByReset(sockets.get(id));
        }
        reset.countDown();
        blocked.join();
    }

    private static void closeByReset(Socket socket) {
        try {
            ScriptedTarget.reset(socket);
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private CompletableFuture<String> callAsync(String id) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return call("GET", id, "");
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private void awaitSocket(String id) {
        while (!sockets.containsKey(id)) {
            pause();
        }
    }
}

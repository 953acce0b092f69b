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
 * A gateway whose connections to several targets are reset at the same moment.
 *
 * <p>A gateway lost its connections to two targets at once. It noticed the first, sent that request again on the connection
 * that it had kept to the second, and that connection failed while the request was being written, before its watch had been
 * set: "NullPointerException: Cannot invoke StallDetector.end() because this.watch is null". The request was sent again
 * only when its silence was noticed, 1.4 s later. What a test's reactor throws is looked at after it.
 */
class ResetTargetsTest extends GatewayFixture {
    /** Which of two connections a gateway looks at first is not ours to choose; in half of the rounds it is the fault's. */
    private static final int ROUNDS = 10;

    private final Map<String, Socket> sockets = new ConcurrentHashMap<>();
    private final CountDownLatch over = new CountDownLatch(1);

    @Test
    void a_request_goes_on_although_the_next_connection_fails_while_it_is_written() throws Exception {
        publish(RequestKind.IDEMPOTENT, 4, 20_000, target(), target(), target(), target());
        for (int round = 0; round < ROUNDS; round++) {
            String held = "held" + round;
            String kept = "kept" + round;
            CompletableFuture<String> answer = called(held);
            awaitSocket(held);
            assertThat(called(kept).get()).startsWith("HTTP/1.1 200");
            resetTogether(held, kept);
            assertThat(answer.get()).startsWith("HTTP/1.1 200");
        }
        over.countDown();
    }

    /** Holds the first answer to requests whose name says so, and answers all others. */
    private ScriptedTarget target() throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            boolean first = sockets.putIfAbsent(id, socket) == null;
            if (first && id.startsWith("held")) {
                await(over);
                return false;
            }
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }));
    }

    /** Resets the connections of two requests while the gateway looks at nothing. */
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

    private CompletableFuture<String> called(String id) {
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

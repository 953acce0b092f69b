package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against large requests that together fill the memory of a gateway. */
class LargeRequestTest extends GatewayFixture {
    private static final int MIB = 1 << 20;

    /** The heap of an entry process, of which bodies of requests and responses may take an eighth. */
    private static final long HEAP_BYTES = 160 * MIB;

    private static final int BODY_BYTES = MIB;
    private static final int CALLS = 40;
    private static final int MAX_BUFFERED = (int) (HEAP_BYTES / 8 / BODY_BYTES);

    /** Runs all calls concurrently, regardless of the number of processors. */
    private static final Executor THREAD_PER_CALL = call -> new Thread(call, "caller").start();

    private final CountDownLatch answered = new CountDownLatch(1);

    @Override
    long heapBytes() {
        return HEAP_BYTES;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void large_requests_beyond_the_bound_are_rejected_as_not_run(boolean chunked) throws Exception {
        ScriptedTarget target = waitingTarget();
        publish(RequestKind.UNSAFE, 1, 20_000, target);
        List<CompletableFuture<String>> calls = new ArrayList<>();
        for (int number = 0; number < CALLS; number++) {
            String id = "large" + number;
            calls.add(CompletableFuture.supplyAsync(() -> callLarge(id, chunked), THREAD_PER_CALL));
        }
        while (calls.stream().filter(CompletableFuture::isDone).count() < CALLS - MAX_BUFFERED) {
            pause();
        }
        assertThat(call("POST", "small", "x")).startsWith("HTTP/1.1 200");
        answered.countDown();
        List<String> answers = calls.stream().map(CompletableFuture::join).toList();
        assertThat(answers).allMatch(each -> each.startsWith("HTTP/1.1 200") || each.startsWith("HTTP/1.1 503"));
        assertThat(answers.stream().filter(each -> each.startsWith("HTTP/1.1 503")))
                .hasSizeGreaterThanOrEqualTo(CALLS - MAX_BUFFERED)
                .allMatch(each -> each.contains("Retry-After: "));
        assertThat(answers.stream().filter(each -> each.startsWith("HTTP/1.1 200")))
                .hasSize(target.bodies.size() - 1);
        assertThat(log.lines(DecisionKind.OVERSIZED))
                .isNotEmpty()
                .allMatch(each -> each.contains("\"bound\":\"total\""));
    }

    @Test
    void memory_of_answered_requests_is_used_again() throws Exception {
        answered.countDown();
        publish(RequestKind.UNSAFE, 1, 20_000, waitingTarget());
        for (int number = 0; number < 2 * MAX_BUFFERED; number++) {
            assertThat(callLarge("large" + number, number % 2 == 0)).startsWith("HTTP/1.1 200");
        }
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8))
                .contains("bankturn_buffered_bytes{message=\"request\"} 0.0");
    }

    /** Returns a target that answers small requests at once, and large ones when the test allows it. */
    private ScriptedTarget waitingTarget() throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = register(new ScriptedTarget((number, id, socket) -> {
            if (self[0].bodies.get(number - 1).length() > 1) {
                await(answered);
            }
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        }));
        return self[0];
    }

    private String callLarge(String id, boolean chunked) {
        try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
            String body = "b".repeat(BODY_BYTES);
            String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + BODY_BYTES;
            ScriptedTarget.write(
                    socket,
                    "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nDeadline: 20000\r\nKey: k\r\n"
                            + "Connection: close\r\n" + framing + "\r\n\r\n");
            ScriptedTarget.write(
                    socket, chunked ? Integer.toHexString(BODY_BYTES) + "\r\n" + body + "\r\n0\r\n\r\n" : body);
            return readAll(socket.getInputStream());
        } catch (IOException e) {
            return "failed: " + e;
        }
    }
}

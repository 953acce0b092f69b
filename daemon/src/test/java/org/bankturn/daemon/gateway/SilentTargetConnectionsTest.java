package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.bankturn.daemon.wire.SilencingRelay;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against retrying on idle connections that went silent together with the first one, and against blaming healthy
 * targets for it.
 */
class SilentTargetConnectionsTest extends SilentConnectionFixture {
    private static final int TARGETS = 2;
    private static final int IDLE_CONNECTIONS = 8;
    private static final int REQUESTS = 6;

    @Test
    void one_silent_connection_rules_out_the_other_idle_connections() throws Exception {
        publishPlain(RequestKind.IDEMPOTENT, answeringOnceAllArrived());
        openIdleConnections();
        targetRelays.forEach(SilencingRelay::silence);
        for (int number = 0; number < REQUESTS; number++) {
            assertThat(call("GET", "after" + number, "")).startsWith("HTTP/1.1 200");
        }
        assertThat(silentConnectionsUsed()).isEqualTo(1);
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8)).doesNotContain("target_failures_total{");
    }

    /** Returns targets that respond only once all requests have arrived, so that each uses its own connection. */
    private List<ScriptedTarget> answeringOnceAllArrived() throws IOException {
        CountDownLatch allArrived = new CountDownLatch(IDLE_CONNECTIONS);
        List<ScriptedTarget> answering = new ArrayList<>();
        for (int number = 0; number < TARGETS; number++) {
            answering.add(register(new ScriptedTarget((count, id, socket) -> {
                allArrived.countDown();
                await(allArrived);
                ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
                return true;
            })));
        }
        return answering;
    }

    private void openIdleConnections() throws Exception {
        ExecutorService callerThreads = Executors.newFixedThreadPool(IDLE_CONNECTIONS);
        List<Future<String>> calls = new ArrayList<>();
        for (int number = 0; number < IDLE_CONNECTIONS; number++) {
            String id = "before" + number;
            calls.add(callerThreads.submit(() -> call("GET", id, "")));
        }
        for (Future<String> each : calls) {
            assertThat(each.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
        }
        callerThreads.shutdown();
    }
}

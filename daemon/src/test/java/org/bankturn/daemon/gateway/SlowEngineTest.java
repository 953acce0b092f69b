package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.bankturn.routing.EngineLoad;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/** Tests that gateways recognize slow engines by the events of their streams. */
class SlowEngineTest extends SilentConnectionFixture {
    /** Several passes of the engine model of the fixture, which take 50 ms each. */
    private static final long SLOW_INTERVAL_MILLIS = 400;

    private static final int EVENTS = 3;
    private static final EngineLoad SLOW_LOAD = new EngineLoad(3, 0, 0, 1_000_000, 2.5, false);

    /** Guards against event times that are not passed on to the placement of requests. */
    @Test
    void an_engine_whose_events_arrive_slowly_is_counted_once() throws Exception {
        publishEngines(RequestKind.RESUMABLE_STREAM, List.of(streaming()), SLOW_LOAD);
        assertThat(call("POST", "slow", "x")).contains("id: " + EVENTS);
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8))
                .contains("bankturn_slowed_engines_total{service=\"chat\"}");
    }

    private ScriptedTarget streaming() throws Exception {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; event <= EVENTS; event++) {
                String text = "id: " + event + "\ndata: a\n\n";
                ScriptedTarget.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLOW_INTERVAL_MILLIS));
            }
            ScriptedTarget.write(socket, "0\r\n\r\n");
            return true;
        }));
    }
}

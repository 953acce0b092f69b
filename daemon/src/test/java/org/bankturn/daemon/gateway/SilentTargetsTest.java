package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.bankturn.daemon.wire.SilencingRelay;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests recovery after all open connections to targets stop carrying data at once. */
class SilentTargetsTest extends SilentConnectionFixture {
    private static final int TARGETS = 8;
    private static final int REQUESTS_BEFORE = 120;
    private static final int REQUESTS_AFTER = 360;
    private static final long REQUEST_INTERVAL_MILLIS = 12;
    private static final long EVENT_INTERVAL_MILLIS = 40;
    private static final int EVENTS = 8;
    private static final long WINDOW_MILLIS = 500;

    private final ExecutorService callerThreads = Executors.newCachedThreadPool();

    private record Outcome(long sentMillis, long tookMillis, boolean whole, boolean refused) {}

    @AfterEach
    void stopCallers() {
        callerThreads.shutdownNow();
    }

    @Test
    void streams_complete_again_after_all_open_connections_went_silent() throws Exception {
        publishEngines(RequestKind.RESUMABLE_STREAM, streamingTargets());
        ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
        List<Future<?>> calls = new ArrayList<>();
        send(REQUESTS_BEFORE, "before", outcomes, calls);
        long silentMillis = clock.millis();
        targetRelays.forEach(SilencingRelay::silence);
        loadRelays.forEach(SilencingRelay::silence);
        send(REQUESTS_AFTER, "after", outcomes, calls);
        for (Future<?> call : calls) {
            call.get(30, TimeUnit.SECONDS);
        }
        report(outcomes, silentMillis);
        assertThat(call("POST", "last", "x")).contains("id: " + EVENTS);
    }

    private void send(int requests, String name, ConcurrentLinkedQueue<Outcome> outcomes, List<Future<?>> calls) {
        for (int number = 0; number < requests; number++) {
            String id = name + number;
            calls.add(callerThreads.submit(() -> outcomes.add(timedCall(id))));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(REQUEST_INTERVAL_MILLIS));
        }
    }

    private Outcome timedCall(String id) throws IOException {
        long sent = clock.millis();
        String answer = call("POST", id, "x");
        return new Outcome(
                sent,
                clock.millis() - sent,
                answer.endsWith("0\r\n\r\n") && answer.contains("id: " + EVENTS),
                answer.startsWith("HTTP/1.1 503"));
    }

    private void report(ConcurrentLinkedQueue<Outcome> outcomes, long silentMillis) {
        for (long window = -1; window < 10; window++) {
            long from = silentMillis + window * WINDOW_MILLIS;
            List<Outcome> sent = outcomes.stream()
                    .filter(each -> each.sentMillis() >= from && each.sentMillis() < from + WINDOW_MILLIS)
                    .toList();
            long whole = sent.stream().filter(Outcome::whole).count();
            long prompt = sent.stream()
                    .filter(each -> each.whole() && each.tookMillis() < 2 * EVENTS * EVENT_INTERVAL_MILLIS)
                    .count();
            System.out.printf(
                    "sent from %d ms: %d requests, %d completed, %d of them promptly, %d refused%n",
                    window * WINDOW_MILLIS,
                    sent.size(),
                    whole,
                    prompt,
                    sent.stream().filter(Outcome::refused).count());
        }
        System.out.printf(
                "silent connections used: %d, connections opened: %d%n",
                targetRelays.stream()
                        .mapToInt(SilencingRelay::silentConnectionsUsed)
                        .sum(),
                targetRelays.stream()
                        .mapToInt(SilencingRelay::openedConnections)
                        .sum());
    }

    private List<ScriptedTarget> streamingTargets() throws IOException {
        List<ScriptedTarget> streaming = new ArrayList<>();
        for (int number = 0; number < TARGETS; number++) {
            streaming.add(streaming());
        }
        return streaming;
    }

    private ScriptedTarget streaming() throws IOException {
        Map<String, ScriptedTarget> self = new HashMap<>();
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            String last = ScriptedTarget.field(self.get("target").heads.get(number - 1), "last-event");
            int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nId: " + id);
            head.append("\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            ScriptedTarget.write(socket, head.toString());
            for (int event = next; event <= EVENTS; event++) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(EVENT_INTERVAL_MILLIS));
                String text = "id: " + event + "\ndata: a\n\n";
                ScriptedTarget.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            ScriptedTarget.write(socket, "0\r\n\r\n");
            return true;
        });
        self.put("target", target);
        return register(target);
    }
}

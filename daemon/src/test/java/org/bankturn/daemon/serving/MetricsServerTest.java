package org.bankturn.daemon.serving;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.RequestOutcome;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class MetricsServerTest {
    @Test
    void counters_and_latency_histograms_are_served_as_text() throws Exception {
        Clock clock = Clock.system();
        DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "p", clock);
        ServingMetrics metrics = ServingMetrics.of(log);
        metrics.requestEnded("chat", RequestOutcome.ANSWERED, 120);
        metrics.requestEnded("chat", RequestOutcome.REFUSED, 1);
        metrics.firstEvent("chat", 90);
        for (int line = 0; line < 100; line++) {
            log.line(DecisionKind.GROUP).write();
        }
        String text = served(clock, metrics);
        assertThat(text)
                .contains("bankturn_requests_total{outcome=\"answered\",service=\"chat\"} 1.0")
                .contains("bankturn_requests_total{outcome=\"refused\",service=\"chat\"} 1.0")
                .contains("bankturn_held_seconds_bucket{outcome=\"answered\",le=\"0.2\"} 1")
                .contains("bankturn_first_event_seconds_count{service=\"chat\"} 1")
                .containsPattern("bankturn_log_lines_total\\{outcome=\"dropped\"} [1-9]");
    }

    private static String served(Clock clock, ServingMetrics metrics) throws Exception {
        Eventloop reactor = Eventloop.builder().withThreadName("metrics-test").build();
        reactor.keepAlive(true);
        new Thread(reactor, "metrics-test").start();
        Address address = FreeAddresses.next();
        try {
            return reactor.submit(() -> {
                        MetricsServer.of(reactor, clock, address, metrics).listen();
                        return PooledHttpClient.on(reactor, clock)
                                .call(
                                        address.toSocketAddress(),
                                        HttpHead.request("GET", "/metrics", List.of()),
                                        new byte[0],
                                        10_000)
                                .then(answer -> Promise.of(new String(answer.body(), StandardCharsets.UTF_8)));
                    })
                    .join();
        } finally {
            reactor.keepAlive(false);
            reactor.breakEventloop();
        }
    }
}

package org.bankturn.daemon.observe;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class UnhandledErrorHandlerTest {
    @Test
    void an_unhandled_error_is_logged_with_its_location_and_the_event_loop_continues() throws Exception {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        DecisionLog log = DecisionLog.startTo(written, "test", Clock.system());
        ServingMetrics metrics = ServingMetrics.of(log);
        Eventloop reactor = Eventloop.builder()
                .withThreadName("unhandled-error-test")
                .withFatalErrorHandler(UnhandledErrorHandler.of(log, metrics))
                .build();
        reactor.post(() -> {
            throw new IllegalStateException("for a test");
        });
        boolean[] continued = new boolean[1];
        reactor.post(() -> continued[0] = true);
        Thread thread = new Thread(reactor, "unhandled-error-test");
        thread.start();
        thread.join();
        while (!written.toString(StandardCharsets.UTF_8).contains("\n")) {
            Thread.sleep(5);
        }
        assertThat(continued[0]).isTrue();
        assertThat(written.toString(StandardCharsets.UTF_8))
                .contains("\"kind\":\"error\"", "for a test", "UnhandledErrorHandlerTest");
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8)).contains("bankturn_errors_total 1");
    }
}

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
    void an_error_that_nothing_handles_leaves_a_line_with_its_place_and_the_loop_goes_on() throws Exception {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        DecisionLog log = DecisionLog.startTo(written, "test", Clock.system());
        ServingMetrics metrics = ServingMetrics.of(log);
        Eventloop reactor = Eventloop.builder()
                .withThreadName("thrown")
                .withFatalErrorHandler(UnhandledErrorHandler.of(log, metrics))
                .build();
        reactor.post(() -> {
            throw new IllegalStateException("for a test");
        });
        boolean[] wentOn = new boolean[1];
        reactor.post(() -> wentOn[0] = true);
        Thread thread = new Thread(reactor, "thrown");
        thread.start();
        thread.join();
        while (!written.toString(StandardCharsets.UTF_8).contains("\n")) {
            Thread.sleep(5);
        }
        assertThat(wentOn[0]).isTrue();
        assertThat(written.toString(StandardCharsets.UTF_8))
                .contains("\"kind\":\"error\"", "for a test", "UnhandledErrorHandlerTest");
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8)).contains("bankturn_errors_total 1");
    }
}

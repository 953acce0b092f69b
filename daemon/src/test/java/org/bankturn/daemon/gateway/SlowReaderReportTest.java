package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.junit.jupiter.api.Test;

/** Guards against callers that are disconnected as slow readers without a trace in the log and the metrics. */
class SlowReaderReportTest extends GatewayFixture {
    private static final int MAX_POLLS = 100;

    @Test
    void slow_reader_that_is_closed_is_logged_and_counted() throws Exception {
        DecisionLog decisions = DecisionLog.startTo(log, "test", clock);
        new InterruptionReporter(new PlainDialect(), decisions, metrics).readerTooSlow(3_000_000, 21_000_000, 1_200);
        for (int poll = 0;
                poll < MAX_POLLS && log.lines(DecisionKind.INTERRUPTED).isEmpty();
                poll++) {
            pause();
        }
        assertThat(log.lines(DecisionKind.INTERRUPTED))
                .singleElement()
                .satisfies(line -> assertThat(line)
                        .contains("\"event\":\"slow reader closed\"")
                        .contains("\"unsent_bytes\":3000000")
                        .contains("\"total_unsent_bytes\":21000000")
                        .contains("\"silent_ms\":1200"));
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8))
                .contains("bankturn_slow_readers_closed_total 1.0")
                .contains("bankturn_queued_output_bytes 0.0");
    }
}

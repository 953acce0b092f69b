package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class WeightsAgentTest extends AgentFixture {
    /** Guards against stale load reports, which overload an engine that is nearly full. */
    @Test
    void load_request_triggers_fresh_report() {
        publishLayout();
        assertThat(requestLoad().active()).isEqualTo(1);
        assertThat(requestLoad().active()).isEqualTo(2);
        assertThat(requestLoad().active()).isEqualTo(3);
    }

    @Test
    void without_layout_load_is_unknown_and_engine_is_not_polled() {
        assertThat(requestLoad()).isNull();
        assertThat(reports).hasValue(0);
    }
}

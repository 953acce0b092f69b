package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class WeightsAgentTest extends AgentFixture {
    /** What was said some tenths of a second ago is too old where an engine is nearly full. */
    @Test
    void a_gateway_is_told_what_the_engine_says_when_it_asks() {
        publishLayout();
        assertThat(requestLoad().active()).isEqualTo(1);
        assertThat(requestLoad().active()).isEqualTo(2);
        assertThat(requestLoad().active()).isEqualTo(3);
    }

    @Test
    void without_a_layout_nothing_is_known_and_the_engine_is_left_alone() {
        assertThat(requestLoad()).isNull();
        assertThat(reports).hasValue(0);
    }
}

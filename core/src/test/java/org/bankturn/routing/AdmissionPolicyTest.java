package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class AdmissionPolicyTest {
    @Test
    void highest_priority_is_admitted_almost_up_to_its_objective() {
        assertThat(AdmissionPolicy.maxStartDelayMillis(400, 1, 1)).isBetween(300.0, 400.0);
    }

    @Test
    void equal_relative_priorities_have_equal_limits() {
        assertThat(AdmissionPolicy.maxStartDelayMillis(400, 2, 2))
                .isEqualTo(AdmissionPolicy.maxStartDelayMillis(400, 0, 0));
    }

    @Test
    void lower_priorities_have_lower_limits() {
        double before = Double.MAX_VALUE;
        for (int urgency = 0; urgency <= 3; urgency++) {
            double latest = AdmissionPolicy.maxStartDelayMillis(400, urgency, 0);
            assertThat(latest).isLessThan(before);
            before = latest;
        }
    }

    @Test
    void lowest_priority_is_admitted_while_engines_are_idle() {
        assertThat(AdmissionPolicy.maxStartDelayMillis(400, 9, 0)).isGreaterThan(200);
    }

    @Test
    void negative_priority_is_rejected_with_its_value() {
        assertThatThrownBy(() -> AdmissionPolicy.maxStartDelayMillis(400, -1, 0))
                .hasMessageContaining("-1");
    }
}

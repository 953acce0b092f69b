package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class AdmissionPolicyTest {
    @Test
    void the_most_urgent_kind_is_admitted_almost_up_to_its_objective() {
        assertThat(AdmissionPolicy.maxStartDelayMillis(400, 1, 1)).isBetween(300.0, 400.0);
    }

    @Test
    void kinds_of_the_same_urgency_are_treated_alike() {
        assertThat(AdmissionPolicy.maxStartDelayMillis(400, 2, 2))
                .isEqualTo(AdmissionPolicy.maxStartDelayMillis(400, 0, 0));
    }

    @Test
    void the_less_urgent_a_kind_is_the_sooner_it_is_refused() {
        double before = Double.MAX_VALUE;
        for (int urgency = 0; urgency <= 3; urgency++) {
            double latest = AdmissionPolicy.maxStartDelayMillis(400, urgency, 0);
            assertThat(latest).isLessThan(before);
            before = latest;
        }
    }

    @Test
    void even_the_least_urgent_kind_is_admitted_while_engines_are_idle() {
        assertThat(AdmissionPolicy.maxStartDelayMillis(400, 9, 0)).isGreaterThan(200);
    }

    @Test
    void a_negative_rank_is_refused_with_the_value() {
        assertThatThrownBy(() -> AdmissionPolicy.maxStartDelayMillis(400, -1, 0))
                .hasMessageContaining("-1");
    }
}

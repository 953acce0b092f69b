package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.service.EngineModel;
import org.junit.jupiter.api.Test;

class FirstEventEstimateTest {
    private static final EngineModel ENGINE = new EngineModel(16, 317_000, 9.27, 0.02, 0.03, 20.7, 2_048, 5, 92);
    private final FirstEventEstimate estimate = FirstEventEstimate.of(ENGINE);

    @Test
    void idle_engine_only_processes_the_prompt() {
        assertThat(estimate.millis(load(0, 0, 1), 0, 0, 2_070)).isBetween(99.0, 101.0);
    }

    @Test
    void request_beyond_the_slots_waits_for_one() {
        double last = estimate.millis(load(15, 0, 1), 0, 0, 100);
        double first = estimate.millis(load(16, 0, 1), 0, 0, 100);
        assertThat(first - last).isGreaterThan(50);
        assertThat(estimate.millis(load(16, 4, 1), 0, 0, 100)).isGreaterThan(first + 200);
    }

    @Test
    void requests_sent_since_the_report_count() {
        assertThat(estimate.millis(load(10, 0, 1), 8, 0, 100)).isEqualTo(estimate.millis(load(18, 0, 1), 0, 0, 100));
    }

    @Test
    void estimate_is_proportional_to_pace() {
        assertThat(estimate.millis(load(4, 0, 3), 0, 0, 100)).isEqualTo(3 * estimate.millis(load(4, 0, 1), 0, 0, 100));
    }

    @Test
    void correction_learns_from_late_events_and_decays_with_rejections() {
        PredictionCorrection correction = learnedFrom(100, 300);
        assertThat(correction.applyTo(100)).isBetween(290.0, 300.0);
        for (int count = 0; count < 200; count++) {
            correction.requestRejected();
        }
        assertThat(correction.applyTo(100)).isEqualTo(100);
    }

    /** Guards against rejecting large prompts because of delays learned from small ones. */
    @Test
    void correction_is_additive_for_all_prompt_sizes() {
        PredictionCorrection correction = learnedFrom(30, 130);
        assertThat(correction.applyTo(30)).isBetween(125.0, 130.0);
        assertThat(correction.applyTo(300)).isBetween(395.0, 400.0);
    }

    private static PredictionCorrection learnedFrom(double predictedMillis, double actualMillis) {
        PredictionCorrection correction = PredictionCorrection.none();
        for (int count = 0; count < 30; count++) {
            correction.observed(predictedMillis, actualMillis);
        }
        return correction;
    }

    private static EngineLoad load(int active, int queued, double pace) {
        return new EngineLoad(active, queued, 0, 0, pace, false);
    }
}

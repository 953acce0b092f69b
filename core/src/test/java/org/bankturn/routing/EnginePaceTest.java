package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.service.EngineModel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EnginePaceTest {
    /** A pass without prompts takes 50 ms. */
    private static final EngineModel ENGINE = new EngineModel(12, 317_000, 10, 0, 0, 20, 2_048, 5, 90);

    private static final EngineLoad NOMINAL = new EngineLoad(8, 0, 0, 0, 1, false);
    private static final EngineLoad REPORTED_SLOW = new EngineLoad(8, 0, 0, 0, 2.5, false);
    private static final long NOW = 1_000_000;

    private final SlowdownReports reports = SlowdownReports.none();
    private final EnginePace pace = EnginePace.unknown(reports);

    @BeforeEach
    void reportSlowdownOfAnotherEngine() {
        reports.reported(2.5, NOW - 2_000);
    }

    /** Guards against an engine that gets requests until its outdated report shows that it is slow. */
    @Test
    void a_long_gap_shows_a_slow_engine_before_its_report() {
        assertThat(pace.eventReceived(ENGINE, NOMINAL, 125, NOW)).isTrue();
        assertThat(pace.slowdown(ENGINE, NOMINAL, NOW)).isEqualTo(2.5);
        assertThat(pace.isSlow(NOW)).isTrue();
    }

    /** Guards against an engine that gets nothing because an outdated report says that it is slow. */
    @Test
    void a_short_gap_shows_a_fast_engine_before_its_report() {
        pace.eventReceived(ENGINE, NOMINAL, 125, NOW - 50);
        pace.eventReceived(ENGINE, NOMINAL, 50, NOW);
        assertThat(pace.slowdown(ENGINE, REPORTED_SLOW, NOW)).isEqualTo(1);
        assertThat(pace.isSlow(NOW)).isFalse();
    }

    /** Guards against engines that count as slow because they process a prompt. */
    @Test
    void a_gap_that_a_prompt_may_account_for_does_not_show_a_slow_engine() {
        assertThat(pace.eventReceived(ENGINE, NOMINAL, 70, NOW)).isFalse();
        assertThat(pace.slowdown(ENGINE, NOMINAL, NOW)).isEqualTo(1);
    }

    /** Guards against engines that lose requests for large prompts where no engine ever slows down. */
    @Test
    void long_gaps_count_only_while_engines_report_slowdowns() {
        EnginePace steady = EnginePace.unknown(SlowdownReports.none());
        assertThat(steady.eventReceived(ENGINE, NOMINAL, 250, NOW)).isFalse();
        assertThat(steady.slowdown(ENGINE, NOMINAL, NOW)).isEqualTo(1);
        assertThat(reports.anyRecent(NOW)).isTrue();
        assertThat(reports.anyRecent(NOW + 8_000)).isFalse();
    }

    /** Guards against an engine that stays avoided because it gets no requests that would show its recovery. */
    @Test
    void the_report_counts_again_some_time_after_the_last_event() {
        pace.eventReceived(ENGINE, NOMINAL, 500, NOW - 300);
        assertThat(pace.slowdown(ENGINE, NOMINAL, NOW)).isEqualTo(1);
        assertThat(pace.slowdown(ENGINE, REPORTED_SLOW, NOW)).isEqualTo(2.5);
        assertThat(pace.isSlow(NOW)).isFalse();
    }

    /** Guards against a log line for each event of a slow engine. */
    @Test
    void a_slow_engine_is_reported_once() {
        assertThat(pace.eventReceived(ENGINE, NOMINAL, 200, NOW - 100)).isTrue();
        assertThat(pace.eventReceived(ENGINE, NOMINAL, 200, NOW)).isFalse();
    }

    @Test
    void a_single_gap_has_a_bounded_effect() {
        pace.eventReceived(ENGINE, NOMINAL, 60_000, NOW);
        assertThat(pace.slowdown(ENGINE, NOMINAL, NOW)).isEqualTo(10);
    }
}

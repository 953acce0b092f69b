package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VersionDeadlinesTest {
    private final VersionDeadlines deadlines = VersionDeadlines.none();

    @Test
    void without_announced_versions_any_is_allowed() {
        assertThat(deadlines.minVersion(1_000)).isZero();
        assertThat(deadlines.canStartInTime(0, 1_000, 500)).isTrue();
    }

    @Test
    void newest_version_past_its_deadline_is_the_minimum() {
        deadlines.versionAnnounced(2, 7_000);
        deadlines.versionAnnounced(3, 9_000);
        assertThat(deadlines.minVersion(6_999)).isZero();
        assertThat(deadlines.minVersion(7_000)).isEqualTo(2);
        assertThat(deadlines.minVersion(9_500)).isEqualTo(3);
    }

    @Test
    void repeated_announcement_does_not_extend_the_deadline() {
        deadlines.versionAnnounced(2, 7_000);
        deadlines.versionAnnounced(2, 8_000);
        assertThat(deadlines.minVersion(7_500)).isEqualTo(2);
    }

    @Test
    void a_version_is_due_a_while_after_it_was_named() {
        assertThat(VersionDeadlines.deadlineOf(1_000, 5_000, 7_000)).isEqualTo(12_000);
    }

    /** Guards against a restarted process that learns late of a version and sends to older weights for too long. */
    @Test
    void a_version_that_may_have_been_named_before_the_start_is_due_within_three_seconds_of_the_start() {
        long started = 60_000;
        assertThat(VersionDeadlines.deadlineOf(started, started - 1, 7_000)).isLessThan(started + 3_000);
    }

    /** Guards against requests that are delayed on a slow link and start on outdated weights. */
    @Test
    void slow_target_gets_no_request_shortly_before_a_deadline() {
        deadlines.versionAnnounced(2, 7_000);
        assertThat(deadlines.canStartInTime(1, 6_000, 700)).isFalse();
        assertThat(deadlines.canStartInTime(1, 6_000, 120)).isTrue();
        assertThat(deadlines.canStartInTime(1, 6_900, 120)).isFalse();
        assertThat(deadlines.canStartInTime(2, 6_900, 700)).isTrue();
    }

    @Test
    void earliest_deadline_of_newer_versions_applies() {
        deadlines.versionAnnounced(2, 7_000);
        deadlines.versionAnnounced(3, 9_000);
        assertThat(deadlines.canStartInTime(1, 8_000, 100)).isFalse();
        assertThat(deadlines.canStartInTime(2, 8_000, 100)).isTrue();
        assertThat(deadlines.canStartInTime(2, 8_900, 100)).isFalse();
    }
}

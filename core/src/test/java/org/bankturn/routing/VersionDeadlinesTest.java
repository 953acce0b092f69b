package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VersionDeadlinesTest {
    private final VersionDeadlines due = VersionDeadlines.none();

    @Test
    void without_a_named_version_any_will_do() {
        assertThat(due.minVersion(1_000)).isZero();
        assertThat(due.canStartInTime(0, 1_000, 500)).isTrue();
    }

    @Test
    void the_newest_version_that_is_due_is_the_least() {
        due.versionAnnounced(2, 7_000);
        due.versionAnnounced(3, 9_000);
        assertThat(due.minVersion(6_999)).isZero();
        assertThat(due.minVersion(7_000)).isEqualTo(2);
        assertThat(due.minVersion(9_500)).isEqualTo(3);
    }

    @Test
    void naming_a_version_again_does_not_put_it_off() {
        due.versionAnnounced(2, 7_000);
        due.versionAnnounced(2, 8_000);
        assertThat(due.minVersion(7_500)).isEqualTo(2);
    }

    /** A request on a link that was squeezed came 1.7 s after it was sent, when the version it began on was long due. */
    @Test
    void a_target_that_is_slow_to_begin_takes_nothing_shortly_before_a_newer_version_is_due() {
        due.versionAnnounced(2, 7_000);
        assertThat(due.canStartInTime(1, 6_000, 700)).isFalse();
        assertThat(due.canStartInTime(1, 6_000, 120)).isTrue();
        assertThat(due.canStartInTime(1, 6_900, 120)).isFalse();
        assertThat(due.canStartInTime(2, 6_900, 700)).isTrue();
    }

    @Test
    void the_earliest_of_several_newer_versions_counts() {
        due.versionAnnounced(2, 7_000);
        due.versionAnnounced(3, 9_000);
        assertThat(due.canStartInTime(1, 8_000, 100)).isFalse();
        assertThat(due.canStartInTime(2, 8_000, 100)).isTrue();
        assertThat(due.canStartInTime(2, 8_900, 100)).isFalse();
    }
}

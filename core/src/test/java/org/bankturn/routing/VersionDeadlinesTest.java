package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VersionDeadlinesTest {
    private final VersionDeadlines deadlines = VersionDeadlines.none();

    @Test
    void without_a_named_version_any_will_do() {
        assertThat(deadlines.minVersion(1_000)).isZero();
        assertThat(deadlines.canStartInTime(0, 1_000, 500)).isTrue();
    }

    @Test
    void the_newest_version_that_is_due_is_the_least() {
        deadlines.versionAnnounced(2, 7_000);
        deadlines.versionAnnounced(3, 9_000);
        assertThat(deadlines.minVersion(6_999)).isZero();
        assertThat(deadlines.minVersion(7_000)).isEqualTo(2);
        assertThat(deadlines.minVersion(9_500)).isEqualTo(3);
    }

    @Test
    void naming_a_version_again_does_not_put_it_off() {
        deadlines.versionAnnounced(2, 7_000);
        deadlines.versionAnnounced(2, 8_000);
        assertThat(deadlines.minVersion(7_500)).isEqualTo(2);
    }

    /** A request on a link that was squeezed came 1.7 s after it was sent, when the version it began on was long due. */
    @Test
    void a_target_that_is_slow_to_begin_takes_nothing_shortly_before_a_newer_version_is_due() {
        deadlines.versionAnnounced(2, 7_000);
        assertThat(deadlines.canStartInTime(1, 6_000, 700)).isFalse();
        assertThat(deadlines.canStartInTime(1, 6_000, 120)).isTrue();
        assertThat(deadlines.canStartInTime(1, 6_900, 120)).isFalse();
        assertThat(deadlines.canStartInTime(2, 6_900, 700)).isTrue();
    }

    @Test
    void the_earliest_of_several_newer_versions_counts() {
        deadlines.versionAnnounced(2, 7_000);
        deadlines.versionAnnounced(3, 9_000);
        assertThat(deadlines.canStartInTime(1, 8_000, 100)).isFalse();
        assertThat(deadlines.canStartInTime(2, 8_000, 100)).isTrue();
        assertThat(deadlines.canStartInTime(2, 8_900, 100)).isFalse();
    }
}

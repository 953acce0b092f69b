package org.bankturn.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PublicationTimesTest {
    private static final long ALLOWED_MILLIS = 13_400;
    private static final long SECOND_PUBLISHED_MILLIS = 18_000;
    private static final long THIRD_PUBLISHED_MILLIS = 21_000;

    private final PublicationTimes times = PublicationTimes.none();

    /** Guards against engines that skip a version and still hold the one before it at its deadline. */
    @Test
    void an_engine_that_skips_a_version_starts_before_the_deadline_of_the_skipped_one() {
        times.record(2, SECOND_PUBLISHED_MILLIS);
        times.record(3, THIRD_PUBLISHED_MILLIS);
        ChangeSchedule schedule = ChangeSchedule.within(ALLOWED_MILLIS, ChangeMethod.AT_ONCE);
        List<WeightsPeer> boxes = List.of(new WeightsPeer("first", "north", 1), new WeightsPeer("last", "north", 1));
        long published = times.firstNewerThan(1).orElseThrow();
        long completed = THIRD_PUBLISHED_MILLIS + 4_000 - published;
        assertThat(boxes)
                .allSatisfy(box -> assertThat(published + schedule.startMillis(box.box(), boxes, completed))
                        .isLessThan(SECOND_PUBLISHED_MILLIS + ALLOWED_MILLIS));
    }

    @Test
    void the_first_time_of_a_version_applies() {
        times.record(2, 100);
        times.record(2, 200);
        assertThat(times.firstNewerThan(1)).hasValue(100);
    }

    @Test
    void a_held_version_without_a_newer_one_has_no_time() {
        times.record(2, 100);
        assertThat(times.firstNewerThan(2)).isEmpty();
    }

    @Test
    void only_recent_versions_are_retained() {
        for (int version = 1; version <= 20; version++) {
            times.record(version, version);
        }
        assertThat(times.firstNewerThan(0)).hasValue(13);
    }
}

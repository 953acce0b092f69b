package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class LoadPollScheduleTest {
    private static final long SECONDS = 60;
    private static final PlacementSettings SETTINGS = PlacementSettings.DEFAULT;

    @Test
    void idle_gateway_polls_rarely_regardless_of_engine_count() {
        LoadPollSchedule schedule = watchingTwelve();
        assertThat(countPolls(schedule, false)).isLessThan((int) (2 * SECONDS));
    }

    @Test
    void busy_gateway_polls_more_often() {
        LoadPollSchedule schedule = watchingTwelve();
        int idle = countPolls(schedule, false);
        assertThat(countPolls(watchingTwelve(), true)).isGreaterThan(3 * idle);
    }

    @Test
    void local_engines_are_polled_more_often() {
        LoadPollSchedule schedule = LoadPollSchedule.of(SETTINGS);
        schedule.setWatched(Set.of("near"), Set.of("far"), 0);
        int near = 0;
        int far = 0;
        for (long now = 0; now < SECONDS * 1_000; now += 10) {
            schedule.requestSent(now);
            String next = schedule.next(now).orElse("none");
            near += next.equals("near") ? 1 : 0;
            far += next.equals("far") ? 1 : 0;
        }
        assertThat(near).isGreaterThan(far).isGreaterThan(0);
        assertThat(far).isGreaterThan(0);
    }

    @Test
    void first_request_after_idling_advances_the_next_polls() {
        LoadPollSchedule schedule = LoadPollSchedule.of(SETTINGS);
        schedule.setWatched(Set.of("near"), Set.of(), 0);
        schedule.next(0);
        long idleDelay = schedule.nextPollDelayMillis(2_000);
        schedule.requestSent(2_000);
        assertThat(schedule.nextPollDelayMillis(2_000))
                .isLessThan(idleDelay)
                .isEqualTo(SETTINGS.localPollIntervalMillis());
    }

    @Test
    void unwatched_engine_is_not_polled() {
        LoadPollSchedule schedule = watchingTwelve();
        schedule.setWatched(Set.of(), Set.of(), 0);
        assertThat(schedule.next(100_000)).isEmpty();
        assertThat(schedule.nextPollDelayMillis(100_000)).isEqualTo(SETTINGS.remotePollIntervalMillis());
    }

    private static LoadPollSchedule watchingTwelve() {
        LoadPollSchedule schedule = LoadPollSchedule.of(SETTINGS);
        schedule.setWatched(Set.of("a", "b", "c", "d", "e", "f", "g", "h"), Set.of("i", "j", "k", "l"), 0);
        return schedule;
    }

    private static int countPolls(LoadPollSchedule schedule, boolean busy) {
        int count = 0;
        for (long now = 0; now < SECONDS * 1_000; now += 10) {
            if (busy) {
                schedule.requestSent(now);
            }
            while (schedule.next(now).isPresent()) {
                count++;
            }
        }
        return count;
    }
}

package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class LoadPollScheduleTest {
    private static final long SECONDS = 60;
    private static final PlacementSettings SETTINGS = PlacementSettings.DEFAULT;

    @Test
    void an_idle_gateway_asks_a_few_times_a_second_however_many_engines_there_are() {
        LoadPollSchedule questions = watchingTwelve();
        assertThat(asked(questions, false)).isLessThan((int) (2 * SECONDS));
    }

    @Test
    void a_gateway_that_sends_requests_asks_more_often() {
        LoadPollSchedule questions = watchingTwelve();
        int idle = asked(questions, false);
        assertThat(asked(watchingTwelve(), true)).isGreaterThan(3 * idle);
    }

    @Test
    void engines_of_the_own_hall_are_asked_more_often() {
        LoadPollSchedule questions = LoadPollSchedule.of(SETTINGS);
        questions.setWatched(Set.of("near"), Set.of("far"), 0);
        int near = 0;
        int far = 0;
        for (long now = 0; now < SECONDS * 1_000; now += 10) {
            questions.requestSent(now);
            String next = questions.next(now).orElse("none");
            near += next.equals("near") ? 1 : 0;
            far += next.equals("far") ? 1 : 0;
        }
        assertThat(near).isGreaterThan(far).isGreaterThan(0);
        assertThat(far).isGreaterThan(0);
    }

    @Test
    void the_first_request_after_a_rest_brings_the_next_questions_forward() {
        LoadPollSchedule questions = LoadPollSchedule.of(SETTINGS);
        questions.setWatched(Set.of("near"), Set.of(), 0);
        questions.next(0);
        long rested = questions.nextPollDelayMillis(2_000);
        questions.requestSent(2_000);
        assertThat(questions.nextPollDelayMillis(2_000))
                .isLessThan(rested)
                .isEqualTo(SETTINGS.localPollIntervalMillis());
    }

    @Test
    void an_engine_that_is_no_longer_watched_is_not_asked() {
        LoadPollSchedule questions = watchingTwelve();
        questions.setWatched(Set.of(), Set.of(), 0);
        assertThat(questions.next(100_000)).isEmpty();
        assertThat(questions.nextPollDelayMillis(100_000)).isEqualTo(SETTINGS.remotePollIntervalMillis());
    }

    private static LoadPollSchedule watchingTwelve() {
        LoadPollSchedule questions = LoadPollSchedule.of(SETTINGS);
        questions.setWatched(Set.of("a", "b", "c", "d", "e", "f", "g", "h"), Set.of("i", "j", "k", "l"), 0);
        return questions;
    }

    private static int asked(LoadPollSchedule questions, boolean busy) {
        int count = 0;
        for (long now = 0; now < SECONDS * 1_000; now += 10) {
            if (busy) {
                questions.requestSent(now);
            }
            while (questions.next(now).isPresent()) {
                count++;
            }
        }
        return count;
    }
}

package org.bankturn.weights;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ChangeScheduleTest {
    private static final long ALLOWED_MILLIS = 8_000;
    private static final long DRAIN_MILLIS = 1_500;

    /** Time reserved for engines to load staged weights. */
    private static final long LOAD_MILLIS = 800;

    private final ChangeSchedule schedule = ChangeSchedule.within(ALLOWED_MILLIS, ChangeMethod.AFTER_ANSWERS);

    @Test
    void every_box_starts_early_enough_to_drain() {
        List<WeightsPeer> boxes = boxes(5);
        assertThat(boxes)
                .allSatisfy(box -> assertThat(schedule.startMillis(box.box(), boxes, 0))
                        .isBetween(1L, ALLOWED_MILLIS - DRAIN_MILLIS));
    }

    @Test
    void draining_boxes_are_limited_to_an_even_spread() {
        List<WeightsPeer> boxes = boxes(8);
        long first = schedule.startMillis("east-1", boxes, 0);
        for (long now = first; now < ALLOWED_MILLIS; now += 50) {
            long moment = now;
            long draining = boxes.stream()
                    .mapToLong(box -> schedule.startMillis(box.box(), boxes, 0))
                    .filter(start -> start <= moment && moment < start + DRAIN_MILLIS)
                    .count();
            assertThat(draining).isLessThanOrEqualTo(boxes.size() * 6L / 10 + 1);
        }
    }

    @Test
    void each_hall_keeps_serving_boxes_during_change() {
        List<WeightsPeer> boxes = boxes(6);
        long half = (schedule.startMillis("east-1", boxes, 0) + schedule.startMillis("west-6", boxes, 0)) / 2;
        for (String hall : List.of("east", "north", "west")) {
            long before = boxes.stream()
                    .filter(box -> box.dataHall().equals(hall))
                    .filter(box -> schedule.startMillis(box.box(), boxes, 0) < half)
                    .count();
            assertThat(before).isBetween(2L, 4L);
        }
    }

    @Test
    void late_copies_start_one_after_the_other_within_the_allowed_time() {
        List<WeightsPeer> boxes = boxes(4);
        long completed = ALLOWED_MILLIS / 2 + 500;
        List<Long> late = boxes.stream()
                .map(box -> schedule.startMillis(box.box(), boxes, completed))
                .filter(start -> start < ALLOWED_MILLIS * 3 / 4)
                .distinct()
                .toList();
        assertThat(late).hasSizeGreaterThan(boxes.size() / 2);
        assertThat(late).allMatch(start -> start >= completed);
    }

    /** Guards against late boxes changing in quick succession, which removes more capacity at a time than necessary. */
    @Test
    void simultaneous_late_copies_spread_evenly_over_remaining_time() {
        ChangeSchedule atOnce = ChangeSchedule.within(ALLOWED_MILLIS, ChangeMethod.AT_ONCE);
        List<WeightsPeer> boxes = boxes(5);
        long completed = 4_100;
        List<Long> inOrder = boxes.stream()
                .map(box -> atOnce.startMillis(box.box(), boxes, completed))
                .sorted()
                .toList();
        for (int rank = 1; rank < inOrder.size(); rank++) {
            assertThat(inOrder.get(rank) - inOrder.get(rank - 1)).isBetween(190L, 220L);
        }
        assertThat(inOrder.get(0)).isEqualTo(completed);
    }

    @Test
    void aborting_engines_have_time_left_to_load() {
        ChangeSchedule atOnce = ChangeSchedule.within(ALLOWED_MILLIS, ChangeMethod.AT_ONCE);
        List<WeightsPeer> boxes = boxes(5);
        assertThat(boxes)
                .allSatisfy(box -> assertThat(atOnce.startMillis(box.box(), boxes, 0))
                        .isLessThanOrEqualTo(ALLOWED_MILLIS - LOAD_MILLIS));
    }

    @Test
    void copies_after_the_allowed_time_start_immediately() {
        List<WeightsPeer> boxes = boxes(4);
        assertThat(boxes)
                .allSatisfy(box -> assertThat(schedule.startMillis(box.box(), boxes, ALLOWED_MILLIS + 1))
                        .isEqualTo(ALLOWED_MILLIS + 1));
    }

    @Test
    void unlisted_box_starts_like_a_single_box() {
        List<WeightsPeer> one = List.of(new WeightsPeer("east-1", "east", 1));
        assertThat(schedule.startMillis("east-1", one, 0)).isEqualTo(schedule.startMillis("unlisted", one, 0));
    }

    @Test
    void zero_allowed_time_is_rejected() {
        assertThatThrownBy(() -> ChangeSchedule.within(0, ChangeMethod.AT_ONCE))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private static List<WeightsPeer> boxes(int inEachHall) {
        List<WeightsPeer> boxes = new ArrayList<>();
        for (String hall : List.of("east", "north", "west")) {
            for (int number = 1; number <= inEachHall; number++) {
                boxes.add(new WeightsPeer(hall + "-" + number, hall, 1));
            }
        }
        return boxes;
    }
}

package org.bankturn.weights;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ChangeScheduleTest {
    private static final long ALLOWED_MILLIS = 8_000;
    private static final long EMPTYING_MILLIS = 1_500;

    /** Twice what engines take to load staged weights. */
    private static final long LOADING_MILLIS = 800;

    private final ChangeSchedule turns = ChangeSchedule.within(ALLOWED_MILLIS, ChangeMethod.AFTER_ANSWERS);

    @Test
    void every_box_has_its_turn_early_enough_to_empty_itself() {
        List<WeightsPeer> boxes = boxes(5);
        assertThat(boxes)
                .allSatisfy(box -> assertThat(turns.startMillis(box.box(), boxes, 0))
                        .isBetween(1L, ALLOWED_MILLIS - EMPTYING_MILLIS));
    }

    @Test
    void no_more_boxes_empty_themselves_at_once_than_an_even_spread_needs() {
        List<WeightsPeer> boxes = boxes(8);
        long first = turns.startMillis("east-1", boxes, 0);
        for (long now = first; now < ALLOWED_MILLIS; now += 50) {
            long moment = now;
            long emptying = boxes.stream()
                    .mapToLong(box -> turns.startMillis(box.box(), boxes, 0))
                    .filter(turn -> turn <= moment && moment < turn + EMPTYING_MILLIS)
                    .count();
            assertThat(emptying).isLessThanOrEqualTo(boxes.size() * 6L / 10 + 1);
        }
    }

    @Test
    void each_hall_keeps_boxes_that_serve_while_others_change() {
        List<WeightsPeer> boxes = boxes(6);
        long half = (turns.startMillis("east-1", boxes, 0) + turns.startMillis("west-6", boxes, 0)) / 2;
        for (String hall : List.of("east", "north", "west")) {
            long before = boxes.stream()
                    .filter(box -> box.dataHall().equals(hall))
                    .filter(box -> turns.startMillis(box.box(), boxes, 0) < half)
                    .count();
            assertThat(before).isBetween(2L, 4L);
        }
    }

    @Test
    void boxes_whose_copies_come_late_change_one_after_the_other_while_there_is_time() {
        List<WeightsPeer> boxes = boxes(4);
        long whole = ALLOWED_MILLIS / 2 + 500;
        List<Long> late = boxes.stream()
                .map(box -> turns.startMillis(box.box(), boxes, whole))
                .filter(turn -> turn < ALLOWED_MILLIS * 3 / 4)
                .distinct()
                .toList();
        assertThat(late).hasSizeGreaterThan(boxes.size() / 2);
        assertThat(late).allMatch(turn -> turn >= whole);
    }

    /**
     * On links of 7.3 Mbit/s beside requests, the copies of 15 boxes were whole 4.06 to 4.17 s after the naming, when six
     * boxes had missed their turns. These followed each other 126 ms apart, among the planned turns of the others, and all
     * engines had changed after 1.9 s; 2 s more would have been allowed. A second of that span earned 0.63 of its credit.
     */
    @Test
    void boxes_whose_copies_come_late_together_share_evenly_what_is_left_of_the_time() {
        ChangeSchedule atOnce = ChangeSchedule.within(ALLOWED_MILLIS, ChangeMethod.AT_ONCE);
        List<WeightsPeer> boxes = boxes(5);
        long whole = 4_100;
        List<Long> inOrder = boxes.stream()
                .map(box -> atOnce.startMillis(box.box(), boxes, whole))
                .sorted()
                .toList();
        for (int rank = 1; rank < inOrder.size(); rank++) {
            assertThat(inOrder.get(rank) - inOrder.get(rank - 1)).isBetween(190L, 220L);
        }
        assertThat(inOrder.get(0)).isEqualTo(whole);
    }

    @Test
    void engines_that_break_off_at_once_have_time_left_to_load_their_weights() {
        ChangeSchedule atOnce = ChangeSchedule.within(ALLOWED_MILLIS, ChangeMethod.AT_ONCE);
        List<WeightsPeer> boxes = boxes(5);
        assertThat(boxes)
                .allSatisfy(box -> assertThat(atOnce.startMillis(box.box(), boxes, 0))
                        .isLessThanOrEqualTo(ALLOWED_MILLIS - LOADING_MILLIS));
    }

    @Test
    void boxes_whose_copies_come_when_time_is_up_change_at_once() {
        List<WeightsPeer> boxes = boxes(4);
        assertThat(boxes)
                .allSatisfy(box -> assertThat(turns.startMillis(box.box(), boxes, ALLOWED_MILLIS + 1))
                        .isEqualTo(ALLOWED_MILLIS + 1));
    }

    @Test
    void a_single_box_changes_first_and_one_that_is_not_listed_does_not_wait() {
        List<WeightsPeer> one = List.of(new WeightsPeer("east-1", "east", 1));
        assertThat(turns.startMillis("east-1", one, 0)).isEqualTo(turns.startMillis("stranger", one, 0));
    }

    @Test
    void a_time_allowed_of_nothing_is_refused() {
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

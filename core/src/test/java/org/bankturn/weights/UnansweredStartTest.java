package org.bankturn.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class UnansweredStartTest {
    private static final StartOrder ORDER = new StartOrder("m", 2, ChangeMethod.AT_ONCE, "i-1", 5);

    private final UnansweredStart unanswered = UnansweredStart.none();

    @Test
    void every_version_may_be_staged_while_all_orders_were_answered() {
        assertThat(unanswered.order()).isEmpty();
        assertThat(unanswered.allowsStaging(3)).isTrue();
    }

    @Test
    void only_the_ordered_version_may_be_staged_while_the_engine_may_execute_the_order() {
        unanswered.sent(ORDER);
        unanswered.observe(5, 1);
        assertThat(unanswered.order()).contains(ORDER);
        assertThat(unanswered.allowsStaging(2)).isTrue();
        assertThat(unanswered.allowsStaging(3)).isFalse();
    }

    @Test
    void order_for_an_earlier_revision_takes_no_effect() {
        unanswered.sent(ORDER);
        unanswered.observe(6, 1);
        assertThat(unanswered.allowsStaging(3)).isTrue();
    }

    @Test
    void order_to_an_engine_that_started_anew_takes_no_effect() {
        unanswered.sent(ORDER);
        unanswered.observe(0, 0);
        assertThat(unanswered.allowsStaging(3)).isTrue();
    }

    @Test
    void order_for_weights_that_are_held_takes_no_effect() {
        unanswered.sent(ORDER);
        unanswered.observe(5, 2);
        assertThat(unanswered.allowsStaging(3)).isTrue();
    }

    @Test
    void order_for_older_weights_than_those_held_may_still_be_executed() {
        unanswered.sent(ORDER);
        unanswered.observe(5, 3);
        assertThat(unanswered.allowsStaging(3)).isFalse();
    }

    @Test
    void order_rejected_at_its_second_sending_may_still_be_executed_from_its_first() {
        unanswered.sent(ORDER);
        unanswered.sent(ORDER);
        unanswered.rejected();
        assertThat(unanswered.allowsStaging(3)).isFalse();
        unanswered.rejected();
        assertThat(unanswered.allowsStaging(3)).isTrue();
    }

    @Test
    void rejection_of_a_settled_order_changes_nothing() {
        unanswered.sent(ORDER);
        unanswered.observe(6, 1);
        unanswered.rejected();
        unanswered.sent(ORDER);
        assertThat(unanswered.allowsStaging(3)).isFalse();
    }
}

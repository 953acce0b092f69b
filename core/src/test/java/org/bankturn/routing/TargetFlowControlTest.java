package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class TargetFlowControlTest {
    private static final long NOW = 1_000_000;
    private static final TargetNotice ONE_A_SECOND = new TargetNotice(OptionalDouble.of(1), 0, false);

    private final TargetFlowControl flowControl = new TargetFlowControl();

    private void permit(boolean granted, long inMillis, long askedMillis, long nowMillis) {
        flowControl.permitRequested();
        flowControl.permitAnswered(
                new PermitCoordinator.Answer(flowControl.limit(), granted, inMillis), askedMillis, nowMillis);
    }

    @Test
    void a_target_that_asked_for_nothing_gets_requests() {
        assertThat(flowControl.acquire(NOW)).isEmpty();
        assertThat(flowControl.needsPermit(NOW)).isFalse();
    }

    @Test
    void a_limited_target_gets_one_request_for_each_permit_and_none_without() {
        assertThat(flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW))
                .containsExactly(NoticeChange.LIMIT_NAMED);
        assertThat(flowControl.acquire(NOW)).contains(HoldReason.RATE_LIMITED);
        assertThat(flowControl.needsPermit(NOW)).isTrue();
        permit(true, 100, NOW, NOW + 2);
        assertThat(flowControl.acquire(NOW + 50)).contains(HoldReason.RATE_LIMITED);
        assertThat(flowControl.acquire(NOW + 102)).isEmpty();
        assertThat(flowControl.acquire(NOW + 103)).contains(HoldReason.RATE_LIMITED);
    }

    @Test
    void a_permit_is_lost_once_its_time_is_over() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        permit(true, 100, NOW, NOW + 2);
        long over = NOW + 100 + PermitCoordinator.PERMIT_VALIDITY_MILLIS;
        assertThat(flowControl.acquire(over)).contains(HoldReason.RATE_LIMITED);
        assertThat(flowControl.needsPermit(over)).isTrue();
    }

    @Test
    void a_permit_that_comes_late_is_valid_no_longer_for_it() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        permit(true, 0, NOW, NOW + PermitCoordinator.PERMIT_VALIDITY_MILLIS);
        assertThat(flowControl.acquire(NOW + PermitCoordinator.PERMIT_VALIDITY_MILLIS))
                .contains(HoldReason.RATE_LIMITED);
    }

    @Test
    void a_gateway_asks_again_when_it_was_told_to_and_not_before() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        permit(false, 700, NOW, NOW + 2);
        assertThat(flowControl.needsPermit(NOW + 701)).isFalse();
        assertThat(flowControl.needsPermit(NOW + 702)).isTrue();
    }

    @Test
    void an_answer_to_a_request_that_was_sent_before_the_limit_was_named_does_not_end_it() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        assertThat(flowControl.applyNotice(TargetNotice.NONE, true, NOW - 5, NOW + 20))
                .isEmpty();
        assertThat(flowControl.limit().inForce()).isTrue();
        assertThat(flowControl.applyNotice(TargetNotice.NONE, true, NOW + 1, NOW + 20))
                .containsExactly(NoticeChange.LIMIT_ENDED);
        assertThat(flowControl.acquire(NOW + 20)).isEmpty();
    }

    @Test
    void a_rejection_that_names_no_limit_does_not_end_it() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        assertThat(flowControl.applyNotice(TargetNotice.NONE, false, NOW + 1, NOW + 20))
                .isEmpty();
        assertThat(flowControl.limit().inForce()).isTrue();
    }

    @Test
    void a_limit_that_changes_or_is_named_again_goes_on() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        assertThat(flowControl.applyNotice(ONE_A_SECOND, true, NOW + 5, NOW + 10))
                .isEmpty();
        TargetNotice two = new TargetNotice(OptionalDouble.of(2), 0, false);
        assertThat(flowControl.applyNotice(two, true, NOW + 15, NOW + 20)).containsExactly(NoticeChange.LIMIT_CHANGED);
    }

    @Test
    void the_end_of_a_limit_that_another_gateway_saw_counts_here() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        flowControl.permitRequested();
        flowControl.permitAnswered(
                new PermitCoordinator.Answer(RateLimit.none(NOW + 50), false, 0), NOW + 40, NOW + 60);
        assertThat(flowControl.acquire(NOW + 60)).isEmpty();
    }

    @Test
    void a_target_that_asked_to_wait_gets_nothing_until_the_longest_wait_is_over() {
        assertThat(flowControl.applyNotice(
                        new TargetNotice(OptionalDouble.empty(), 3_000, false), false, NOW - 10, NOW))
                .containsExactly(NoticeChange.BACKS_OFF);
        flowControl.applyNotice(new TargetNotice(OptionalDouble.empty(), 1_000, false), false, NOW - 10, NOW + 5);
        assertThat(flowControl.acquire(NOW + 2_999)).contains(HoldReason.BACKING_OFF);
        assertThat(flowControl.untilReleaseMillis(NOW + 1_000)).isEqualTo(2_000);
        assertThat(flowControl.acquire(NOW + 3_000)).isEmpty();
    }

    @Test
    void a_wait_of_ages_ends_within_an_hour() {
        flowControl.applyNotice(new TargetNotice(OptionalDouble.empty(), Long.MAX_VALUE, false), false, NOW - 10, NOW);
        assertThat(flowControl.acquire(NOW + TargetFlowControl.MAX_BACK_OFF_MILLIS - 1))
                .contains(HoldReason.BACKING_OFF);
        assertThat(flowControl.acquire(NOW + TargetFlowControl.MAX_BACK_OFF_MILLIS))
                .isEmpty();
    }

    @Test
    void a_leaving_target_gets_nothing_whatever_else_it_says() {
        assertThat(flowControl.applyNotice(new TargetNotice(OptionalDouble.of(1), 10, true), true, NOW - 10, NOW))
                .containsExactlyInAnyOrder(NoticeChange.LIMIT_NAMED, NoticeChange.BACKS_OFF, NoticeChange.LEAVES);
        assertThat(flowControl.applyNotice(TargetNotice.NONE, true, NOW + 5, NOW + 10))
                .containsExactly(NoticeChange.LIMIT_ENDED);
        assertThat(flowControl.acquire(NOW + 60_000)).contains(HoldReason.LEAVING);
        assertThat(flowControl.needsPermit(NOW + 60_000)).isFalse();
        assertThat(flowControl.untilReleaseMillis(NOW + 60_000)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void a_target_that_waits_and_is_limited_is_asked_no_permit_for() {
        flowControl.applyNotice(new TargetNotice(OptionalDouble.of(1), 500, false), false, NOW - 10, NOW);
        assertThat(flowControl.needsPermit(NOW + 499)).isFalse();
        assertThat(flowControl.needsPermit(NOW + 500)).isTrue();
        assertThat(flowControl.untilReleaseMillis(NOW)).isEqualTo(1_000);
    }
}

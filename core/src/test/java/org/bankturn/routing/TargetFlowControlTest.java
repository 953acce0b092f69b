package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class TargetFlowControlTest {
    private static final long NOW = 1_000_000;
    private static final TargetNotice ONE_A_SECOND = new TargetNotice(OptionalDouble.of(1), 0, false);

    private final TargetFlowControl flowControl = new TargetFlowControl();

    private void answerPermit(boolean granted, long inMillis, long askedMillis, long nowMillis) {
        flowControl.permitRequested();
        flowControl.permitAnswered(
                new PermitCoordinator.Answer(flowControl.limit(), granted, inMillis), askedMillis, nowMillis);
    }

    @Test
    void target_without_constraints_gets_requests() {
        assertThat(flowControl.acquire(NOW)).isEmpty();
        assertThat(flowControl.needsPermit(NOW)).isFalse();
    }

    @Test
    void limited_target_gets_one_request_per_permit() {
        assertThat(flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW))
                .containsExactly(NoticeChange.LIMIT_NAMED);
        assertThat(flowControl.acquire(NOW)).contains(HoldReason.RATE_LIMITED);
        assertThat(flowControl.needsPermit(NOW)).isTrue();
        answerPermit(true, 100, NOW, NOW + 2);
        assertThat(flowControl.acquire(NOW + 50)).contains(HoldReason.RATE_LIMITED);
        assertThat(flowControl.acquire(NOW + 102)).isEmpty();
        assertThat(flowControl.acquire(NOW + 103)).contains(HoldReason.RATE_LIMITED);
    }

    @Test
    void permit_expires() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        answerPermit(true, 100, NOW, NOW + 2);
        long over = NOW + 100 + PermitCoordinator.PERMIT_VALIDITY_MILLIS;
        assertThat(flowControl.acquire(over)).contains(HoldReason.RATE_LIMITED);
        assertThat(flowControl.needsPermit(over)).isTrue();
    }

    @Test
    void late_permit_is_not_extended() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        answerPermit(true, 0, NOW, NOW + PermitCoordinator.PERMIT_VALIDITY_MILLIS);
        assertThat(flowControl.acquire(NOW + PermitCoordinator.PERMIT_VALIDITY_MILLIS))
                .contains(HoldReason.RATE_LIMITED);
    }

    @Test
    void permit_is_requested_again_only_after_the_given_delay() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        answerPermit(false, 700, NOW, NOW + 2);
        assertThat(flowControl.needsPermit(NOW + 701)).isFalse();
        assertThat(flowControl.needsPermit(NOW + 702)).isTrue();
    }

    @Test
    void response_to_a_request_sent_before_the_limit_does_not_end_it() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        assertThat(flowControl.applyNotice(TargetNotice.NONE, true, NOW - 5, NOW + 20))
                .isEmpty();
        assertThat(flowControl.limit().inForce()).isTrue();
        assertThat(flowControl.applyNotice(TargetNotice.NONE, true, NOW + 1, NOW + 20))
                .containsExactly(NoticeChange.LIMIT_ENDED);
        assertThat(flowControl.acquire(NOW + 20)).isEmpty();
    }

    @Test
    void rejection_without_a_limit_does_not_end_it() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        assertThat(flowControl.applyNotice(TargetNotice.NONE, false, NOW + 1, NOW + 20))
                .isEmpty();
        assertThat(flowControl.limit().inForce()).isTrue();
    }

    @Test
    void repeated_or_changed_limit_stays_in_force() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        assertThat(flowControl.applyNotice(ONE_A_SECOND, true, NOW + 5, NOW + 10))
                .isEmpty();
        TargetNotice two = new TargetNotice(OptionalDouble.of(2), 0, false);
        assertThat(flowControl.applyNotice(two, true, NOW + 15, NOW + 20)).containsExactly(NoticeChange.LIMIT_CHANGED);
    }

    @Test
    void end_of_a_limit_seen_by_another_gateway_applies() {
        flowControl.applyNotice(ONE_A_SECOND, true, NOW - 10, NOW);
        flowControl.permitRequested();
        flowControl.permitAnswered(
                new PermitCoordinator.Answer(RateLimit.none(NOW + 50), false, 0), NOW + 40, NOW + 60);
        assertThat(flowControl.acquire(NOW + 60)).isEmpty();
    }

    @Test
    void longest_back_off_applies() {
        assertThat(flowControl.applyNotice(
                        new TargetNotice(OptionalDouble.empty(), 3_000, false), false, NOW - 10, NOW))
                .containsExactly(NoticeChange.BACKS_OFF);
        flowControl.applyNotice(new TargetNotice(OptionalDouble.empty(), 1_000, false), false, NOW - 10, NOW + 5);
        assertThat(flowControl.acquire(NOW + 2_999)).contains(HoldReason.BACKING_OFF);
        assertThat(flowControl.untilReleaseMillis(NOW + 1_000)).isEqualTo(2_000);
        assertThat(flowControl.acquire(NOW + 3_000)).isEmpty();
    }

    @Test
    void back_off_is_capped_at_an_hour() {
        flowControl.applyNotice(new TargetNotice(OptionalDouble.empty(), Long.MAX_VALUE, false), false, NOW - 10, NOW);
        assertThat(flowControl.acquire(NOW + TargetFlowControl.MAX_BACK_OFF_MILLIS - 1))
                .contains(HoldReason.BACKING_OFF);
        assertThat(flowControl.acquire(NOW + TargetFlowControl.MAX_BACK_OFF_MILLIS))
                .isEmpty();
    }

    @Test
    void leaving_target_gets_no_requests() {
        assertThat(flowControl.applyNotice(new TargetNotice(OptionalDouble.of(1), 10, true), true, NOW - 10, NOW))
                .containsExactlyInAnyOrder(NoticeChange.LIMIT_NAMED, NoticeChange.BACKS_OFF, NoticeChange.LEAVES);
        assertThat(flowControl.applyNotice(TargetNotice.NONE, true, NOW + 5, NOW + 10))
                .containsExactly(NoticeChange.LIMIT_ENDED);
        assertThat(flowControl.acquire(NOW + 60_000)).contains(HoldReason.LEAVING);
        assertThat(flowControl.needsPermit(NOW + 60_000)).isFalse();
        assertThat(flowControl.untilReleaseMillis(NOW + 60_000)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void no_permit_is_requested_during_back_off() {
        flowControl.applyNotice(new TargetNotice(OptionalDouble.of(1), 500, false), false, NOW - 10, NOW);
        assertThat(flowControl.needsPermit(NOW + 499)).isFalse();
        assertThat(flowControl.needsPermit(NOW + 500)).isTrue();
        assertThat(flowControl.untilReleaseMillis(NOW)).isEqualTo(1_000);
    }
}

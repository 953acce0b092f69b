package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class InterruptedRequestsTest {
    private static final InterruptedRequest ONE = request(1);
    private static final InterruptedRequest OTHER = request(2);
    private static final TargetSighting TARGET = target("t1", "a:1");

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final InterruptedRequests interruptedRequests = InterruptedRequests.of(clock);

    @Test
    void interrupted_requests_of_a_crashed_target_are_returned_once() {
        interruptedRequests.recordInterruption(TARGET, ONE);
        interruptedRequests.recordInterruption(TARGET, OTHER);
        assertThat(interruptedRequests.recordCrash("t1")).containsExactly(ONE, OTHER);
        assertThat(interruptedRequests.recordCrash("t1")).isEmpty();
    }

    @Test
    void requests_interrupted_after_the_crash_was_recorded_are_returned() {
        interruptedRequests.recordInterruption(TARGET, ONE);
        interruptedRequests.recordCrash("t1");
        interruptedRequests.recordInterruption(TARGET, OTHER);
        assertThat(interruptedRequests.hasCrashed("t1")).isTrue();
        assertThat(interruptedRequests.recordCrash("t1")).containsExactly(OTHER);
    }

    @Test
    void a_request_that_completed_meanwhile_is_not_returned() {
        interruptedRequests.recordInterruption(TARGET, ONE);
        interruptedRequests.recordCompletion(List.of(ONE.fingerprint()));
        assertThat(interruptedRequests.recordCrash("t1")).isEmpty();
    }

    @Test
    void another_incarnation_at_the_address_replaces_the_former_one() {
        interruptedRequests.recordInterruption(TARGET, ONE);
        assertThat(interruptedRequests.findReplaced(List.of(TARGET, target("t2", "b:1"))))
                .isEmpty();
        assertThat(interruptedRequests.findReplaced(List.of(target("t2", "a:1"))))
                .containsExactly("t1");
    }

    /** Guards against a sign of life from before an interruption clearing the target of it. */
    @Test
    void a_target_that_was_alive_before_its_last_interruption_is_undecided() {
        interruptedRequests.recordInterruption(TARGET, ONE);
        int interruptions = interruptedRequests.interruptionCount("t1");
        interruptedRequests.recordInterruption(TARGET, OTHER);
        assertThat(interruptedRequests.markAlive("t1", interruptions)).isFalse();
        assertThat(interruptedRequests.findUndecided(OTHER.fingerprint())).containsExactly("t1");
    }

    @Test
    void an_alive_target_is_undecided_only_after_a_further_interruption() {
        interruptedRequests.recordInterruption(TARGET, ONE);
        assertThat(interruptedRequests.findUndecided(ONE.fingerprint())).containsExactly("t1");
        assertThat(interruptedRequests.markAlive("t1", 1)).isTrue();
        assertThat(interruptedRequests.findUndecided(ONE.fingerprint())).isEmpty();
        interruptedRequests.recordInterruption(TARGET, ONE);
        assertThat(interruptedRequests.findUndecided(ONE.fingerprint())).containsExactly("t1");
    }

    @Test
    void old_interruptions_are_evicted() {
        interruptedRequests.recordInterruption(TARGET, ONE);
        clock.advance(30_001);
        assertThat(interruptedRequests.isEmpty()).isTrue();
        interruptedRequests.recordInterruption(target("t2", "b:1"), OTHER);
        assertThat(interruptedRequests.recordCrash("t1")).isEmpty();
    }

    private static InterruptedRequest request(long number) {
        return new InterruptedRequest(new RequestFingerprint(number, number), List.of(), 1, 0);
    }

    private static TargetSighting target(String id, String address) {
        return new TargetSighting(id, "chat", address, "north", 4, false, 1, 1);
    }
}

package org.bankturn.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SentRequestsTest {
    private static final InterruptedRequest ONE = request(1);
    private static final InterruptedRequest OTHER = request(2);
    private static final TargetSighting TARGET = target("t1", "a:1");
    private static final long TIMEOUT_MILLIS = 2_000;

    /** The time after which a target that shows life cannot crash of a request that was given up at once. */
    private static final long OUTLIVED_MILLIS = TIMEOUT_MILLIS + 2 * SentRequests.TAIL_MILLIS + 1;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final SentRequests requests = SentRequests.of(clock);

    // ---- what a crash counts against

    @Test
    void requests_at_a_crashed_target_are_returned_once() {
        send(ONE);
        lose(OTHER);
        assertThat(requests.recordCrash("t1")).containsExactly(ONE, OTHER);
        assertThat(requests.recordCrash("t1")).isEmpty();
        assertThat(requests.hasCrashed("t1")).isTrue();
    }

    @Test
    void a_request_sent_after_the_crash_was_recorded_did_not_cause_it() {
        send(ONE);
        requests.recordCrash("t1");
        lose(OTHER);
        assertThat(requests.hasCrashed("t1")).isTrue();
        assertThat(requests.findUndecided(OTHER.fingerprint())).isEmpty();
        assertThat(requests.recordCrash("t1")).isEmpty();
    }

    /** Guards against crashes that count against nothing because of how the attempt ended. */
    @ParameterizedTest
    @EnumSource(
            value = RunEnd.class,
            names = {"COMPLETED", "FAILED", "UNKNOWN"})
    void a_crash_soon_after_an_attempt_counts_however_it_ended(RunEnd end) {
        requests.recordEnd(send(ONE), end);
        clock.advance(5);
        assertThat(requests.recordCrash("t1")).containsExactly(ONE);
    }

    @Test
    void a_request_that_the_target_did_not_run_is_not_returned() {
        requests.recordEnd(send(ONE), RunEnd.NOT_RUN);
        assertThat(requests.recordCrash("t1")).isEmpty();
    }

    @Test
    void a_request_that_was_given_up_counts_until_its_target_lives_after_its_deadline() {
        lose(ONE);
        clock.advance(TIMEOUT_MILLIS - 1);
        requests.recordAnswer("t1", clock.millis());
        clock.advance(1);
        assertThat(requests.findUndecided(ONE.fingerprint())).isEmpty();
        assertThat(requests.recordCrash("t1")).containsExactly(ONE);
    }

    /** Guards against a request being blamed for a crash long after its interruption, which its target outlived. */
    @Test
    void a_request_whose_target_lived_on_after_its_deadline_is_not_returned() {
        lose(ONE);
        clock.advance(OUTLIVED_MILLIS);
        requests.recordAnswer("t1", clock.millis());
        clock.advance(1);
        assertThat(requests.recordCrash("t1")).isEmpty();
    }

    @Test
    void data_for_another_request_shows_that_the_target_lived_on() {
        SentRequest other = send(OTHER);
        lose(ONE);
        clock.advance(OUTLIVED_MILLIS);
        requests.recordData(other, 0);
        assertThat(requests.recordCrash("t1")).containsExactly(OTHER);
    }

    /** Data on a connection from after a request may come from a later start of the target under the same name. */
    @Test
    void data_on_a_later_connection_shows_nothing_of_a_target_that_may_restart_under_its_name() {
        TargetSighting restarting = new TargetSighting("t1@5", "t1", 5, "chat", "a:1", "north", 4, false, 1, 1);
        SentRequest lost = requests.recordSent(restarting, () -> ONE, clock.millis() + TIMEOUT_MILLIS);
        requests.recordEnd(lost, RunEnd.UNKNOWN);
        clock.advance(OUTLIVED_MILLIS);
        SentRequest later = requests.recordSent(restarting, () -> OTHER, clock.millis() + TIMEOUT_MILLIS);
        requests.recordData(later, clock.millis());
        assertThat(requests.recordCrash("t1@5")).containsExactly(ONE, OTHER);
    }

    @Test
    void a_request_that_completed_elsewhere_meanwhile_is_not_returned() {
        lose(ONE);
        requests.recordCompletion(ONE.fingerprint());
        assertThat(requests.recordCrash("t1")).isEmpty();
    }

    @Test
    void a_planned_end_counts_against_nothing() {
        lose(ONE);
        requests.recordDeparture("t1");
        assertThat(requests.recordCrash("t1")).isEmpty();
    }

    /** Guards against requests that a target outlives filling the memory for the one that crashes it. */
    @Test
    void the_request_given_up_last_is_kept_among_many() {
        for (int number = 100; number < 300; number++) {
            lose(request(number));
        }
        lose(ONE);
        assertThat(requests.recordCrash("t1")).hasSize(64).contains(ONE);
    }

    /** Guards against an old interruption taking a recent one with it when it is evicted. */
    @Test
    void ended_attempts_are_evicted_one_by_one() {
        lose(ONE);
        clock.advance(29_900);
        lose(OTHER);
        clock.advance(200);
        assertThat(requests.recordCrash("t1")).containsExactly(OTHER);
    }

    @Test
    void old_attempts_are_evicted() {
        lose(ONE);
        clock.advance(30_001);
        requests.recordSent(target("t2", "b:1"), () -> OTHER, clock.millis());
        assertThat(requests.isAnyUndecided()).isFalse();
        assertThat(requests.recordCrash("t1")).isEmpty();
    }

    // ---- complete responses

    @Test
    void a_complete_response_is_harmless_unless_its_target_ends_at_once() {
        SentRequest completed = complete(ONE);
        clock.advance(SentRequests.TAIL_MILLIS);
        assertThat(requests.judge(completed)).isEqualTo(CompletionVerdict.HARMLESS);
        requests.forget(completed);
        assertThat(requests.recordCrash("t1")).isEmpty();
    }

    @Test
    void a_complete_response_is_undecided_while_its_target_closed_an_idle_connection_and_was_not_heard_since() {
        SentRequest completed = complete(ONE);
        clock.advance(5);
        requests.recordIdleClose("t1");
        clock.advance(SentRequests.TAIL_MILLIS);
        assertThat(requests.judge(completed)).isEqualTo(CompletionVerdict.UNDECIDED);
        requests.recordAnswer("t1", clock.millis());
        assertThat(requests.judge(completed)).isEqualTo(CompletionVerdict.HARMLESS);
    }

    @Test
    void a_complete_response_of_a_target_that_crashed_at_once_shows_nothing() {
        SentRequest completed = complete(ONE);
        clock.advance(5);
        assertThat(requests.recordCrash("t1")).containsExactly(ONE);
        assertThat(requests.judge(completed)).isEqualTo(CompletionVerdict.CRASHED);
    }

    /** Guards against popular requests being held while targets that just served them are checked. */
    @Test
    void a_complete_response_alone_leaves_nothing_undecided() {
        complete(ONE);
        assertThat(requests.isAnyUndecided()).isFalse();
        requests.recordIdleClose("t1");
        assertThat(requests.findUndecided(ONE.fingerprint())).containsExactly(TARGET);
    }

    // ---- targets of which it is not known whether they crashed

    /** Guards against a sign of life from before an interruption clearing the target of it. */
    @Test
    void a_target_that_was_alive_before_its_last_interruption_is_undecided() {
        long askedMillis = clock.millis();
        clock.advance(1);
        lose(OTHER);
        requests.recordAnswer("t1", askedMillis);
        assertThat(requests.isQuestionableSince("t1", askedMillis)).isTrue();
        assertThat(requests.findUndecided(OTHER.fingerprint())).containsExactly(TARGET);
    }

    @Test
    void an_alive_target_is_undecided_only_after_a_further_interruption() {
        lose(ONE);
        assertThat(requests.findUndecided(ONE.fingerprint())).containsExactly(TARGET);
        clock.advance(1);
        requests.recordAnswer("t1", clock.millis());
        assertThat(requests.findUndecided(ONE.fingerprint())).isEmpty();
        clock.advance(1);
        lose(ONE);
        assertThat(requests.findUndecided(ONE.fingerprint())).containsExactly(TARGET);
    }

    @Test
    void a_sign_of_life_stands_for_a_short_time_only() {
        lose(ONE);
        clock.advance(1);
        requests.recordAnswer("t1", clock.millis());
        clock.advance(SentRequests.FRESH_MILLIS);
        assertThat(requests.isAnyUndecided()).isFalse();
        clock.advance(1);
        assertThat(requests.findUndecided(ONE.fingerprint())).containsExactly(TARGET);
    }

    @Test
    void a_target_is_undecided_while_it_is_silent_and_not_while_a_response_is_awaited() {
        SentRequest sent = send(ONE);
        assertThat(requests.isAnyUndecided()).isFalse();
        requests.recordSilence(sent);
        assertThat(requests.findUndecided(ONE.fingerprint())).containsExactly(TARGET);
        requests.recordData(sent, 0);
        assertThat(requests.findUndecided(ONE.fingerprint())).isEmpty();
    }

    @Test
    void prompt_parts_are_found_at_undecided_targets() {
        lose(new InterruptedRequest(new RequestFingerprint(7, 7), List.of("p"), 1, 0));
        assertThat(requests.findUndecided("p")).containsExactly(TARGET);
        assertThat(requests.findUndecided("q")).isEmpty();
    }

    @Test
    void another_incarnation_at_the_address_replaces_the_former_one() {
        lose(ONE);
        assertThat(requests.findReplaced(Map.of("t1", TARGET, "t2", target("t2", "b:1"))))
                .isEmpty();
        assertThat(requests.findReplaced(Map.of("t2", target("t2", "a:1")))).containsExactly(TARGET);
    }

    @Test
    void a_later_start_under_the_same_name_replaces_the_former_one() {
        TargetSighting former = new TargetSighting("t1@5", "t1", 5, "chat", "a:1", "north", 4, false, 1, 1);
        TargetSighting later = new TargetSighting("t1@6", "t1", 6, "chat", "c:1", "north", 4, false, 1, 1);
        requests.recordSent(former, () -> ONE, clock.millis());
        assertThat(requests.findReplaced(Map.of("t1@6", later))).containsExactly(former);
    }

    @Test
    void targets_that_others_saw_crash_are_found() {
        lose(ONE);
        assertThat(requests.findAmong(Set.of("t0", "t1"))).containsExactly(TARGET);
        assertThat(requests.findAmong(Set.of("t0"))).isEmpty();
    }

    private SentRequest send(InterruptedRequest request) {
        return requests.recordSent(TARGET, () -> request, clock.millis() + TIMEOUT_MILLIS);
    }

    private void lose(InterruptedRequest request) {
        requests.recordEnd(send(request), RunEnd.UNKNOWN);
    }

    private SentRequest complete(InterruptedRequest request) {
        SentRequest sent = send(request);
        requests.recordData(sent, 0);
        requests.recordEnd(sent, RunEnd.COMPLETED);
        return sent;
    }

    private static InterruptedRequest request(long number) {
        return new InterruptedRequest(new RequestFingerprint(number, number), List.of(), 1, 0);
    }

    private static TargetSighting target(String id, String address) {
        return new TargetSighting(id, "chat", address, "north", 4, false, 1, 1);
    }
}

package org.bankturn.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bankturn.crash.CompletedPart;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.InterruptedRequest;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectPart;
import org.junit.jupiter.api.Test;

/** A crash must be held against the part, or the request, that explains it best. */
class CrashEvidenceTest {
    private static final int VERSION = 1;
    private static final RequestFingerprint BESIDE = new RequestFingerprint(9, 9);

    private PublicationState state = PublicationState.empty();
    private long index;

    private static InterruptedRequest request(RequestFingerprint fingerprint, String... parts) {
        return new InterruptedRequest(fingerprint, List.of(parts), VERSION, 0);
    }

    private static InterruptedRequest request(long number, String... parts) {
        return request(new RequestFingerprint(0, number), parts);
    }

    private void crash(String target, InterruptedRequest... requests) {
        state.apply(
                ++index,
                new PublicationCommand.RecordOutcomes(
                        List.of(EndedTarget.of(target, List.of(requests))), List.of(), List.of()));
    }

    private List<RequestFingerprint> condemnedRequests() {
        return state.suspects().stream()
                .filter(Suspect::isCondemned)
                .map(Suspect::fingerprint)
                .toList();
    }

    /** Guards against condemned copies of requests that take their crashes away from the part that they share. */
    @Test
    void condemned_requests_do_not_shield_the_part_that_they_share() {
        crash("t1", request(1, "shared", "bad"));
        crash("t2", request(1, "shared", "bad"));
        crash("t3", request(1, "shared", "bad"));
        assertThat(condemnedRequests()).containsExactly(new RequestFingerprint(0, 1));
        crash("t4", request(2, "shared", "bad"));
        crash("t5", request(2, "shared", "bad"));
        assertThat(state.suspectParts().condemned()).containsExactly("bad");
    }

    @Test
    void a_request_beside_a_condemned_part_is_not_condemned_by_its_crashes() {
        for (int target = 1; target <= 4; target++) {
            crash("t" + target, request(target, "bad"));
        }
        crash("t5", request(5, "bad"), request(BESIDE, "sound"));
        crash("t6", request(6, "bad"), request(BESIDE, "sound"));
        crash("t7", request(7, "bad"), request(BESIDE, "sound"));
        assertThat(condemnedRequests()).isEmpty();
        assertThat(state.suspects()).noneMatch(each -> !each.endedTargets().isEmpty());
    }

    @Test
    void a_repeated_request_is_condemned_and_its_part_is_not() {
        for (int target = 1; target <= 8; target++) {
            crash("t" + target, request(1, "shared"));
        }
        assertThat(condemnedRequests()).containsExactly(new RequestFingerprint(0, 1));
        assertThat(state.suspectParts().condemned()).isEmpty();
    }

    /** Many targets crash at once for another reason; one request with each popular part completed before. */
    @Test
    void popular_parts_are_not_condemned_by_many_crashes_at_once() {
        List<EndedTarget> ended = new ArrayList<>();
        for (int target = 0; target < 12; target++) {
            ended.add(EndedTarget.of(
                    "t" + target,
                    List.of(request(2L * target, "popular"), request(2L * target + 1, "popular", "second"))));
        }
        List<CompletedPart> completed =
                List.of(new CompletedPart("popular", VERSION, 0), new CompletedPart("second", VERSION, 0));
        state.apply(++index, new PublicationCommand.RecordOutcomes(ended, List.of(), completed));
        assertThat(state.suspectParts().condemned()).isEmpty();
    }

    @Test
    void suspect_parts_are_published_and_survive_a_snapshot() {
        for (int target = 1; target <= 5; target++) {
            crash("t" + target, request(target, "bad"));
        }
        state.apply(++index, new PublicationCommand.TakePartTrial("bad", 1, "gateway"));
        PublicationState restored = PublicationState.restore(state.snapshot());
        assertThat(restored.suspectParts().condemned()).containsExactly("bad");
        assertThat(restored.updateSince(index - 1).suspectParts())
                .extracting(SuspectPart::trialBy)
                .containsExactly("gateway");
        assertThat(restored.updateSince(index).suspectParts()).isEmpty();
    }

    @Test
    void an_operator_clears_a_part_and_a_repeated_order_changes_nothing() {
        for (int target = 1; target <= 5; target++) {
            crash("t" + target, request(target, "bad"));
        }
        PublicationCommand clear = new PublicationCommand.ClearPart("bad");
        assertThat(state.apply(++index, clear)).isTrue();
        assertThat(state.suspectParts().condemned()).isEmpty();
        assertThat(state.wouldChange(clear)).isFalse();
        assertThat(state.wouldChange(new PublicationCommand.ClearPart("unknown")))
                .isFalse();
    }

    @Test
    void a_trial_of_a_part_is_granted_to_one_process_and_returned_by_it() {
        for (int target = 1; target <= 5; target++) {
            crash("t" + target, request(target, "bad"));
        }
        PublicationCommand trial = new PublicationCommand.TakePartTrial("bad", 1, "one");
        assertThat(state.apply(++index, trial)).isTrue();
        assertThat(state.wouldChange(new PublicationCommand.TakePartTrial("bad", 1, "other")))
                .isFalse();
        assertThat(state.apply(++index, new PublicationCommand.ReturnPartTrial("bad", "one")))
                .isTrue();
        assertThat(state.wouldChange(new PublicationCommand.TakePartTrial("bad", 1, "other")))
                .isTrue();
    }
}

package org.bankturn.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.registry.Evidence;
import org.bankturn.registry.TargetRegistry;
import org.bankturn.registry.TargetSighting;
import org.junit.jupiter.api.Test;

class PublicationStateTest {
    private final PublicationState state = PublicationState.empty();

    @Test
    void the_highest_version_wins_in_any_order() {
        state.apply(1, new PublicationCommand.PutDocument(7, new byte[] {7}));
        state.apply(2, new PublicationCommand.PutDocument(5, new byte[] {5}));
        assertThat(state.documentVersion()).isEqualTo(7);
        assertThat(state.document()).containsExactly(7);
    }

    @Test
    void other_content_under_the_current_version_changes_nothing() {
        state.apply(1, new PublicationCommand.PutDocument(7, new byte[] {7}));
        state.apply(2, new PublicationCommand.PutDocument(7, new byte[] {8}));
        assertThat(state.document()).containsExactly(7);
        assertThat(state.index()).isEqualTo(1);
    }

    @Test
    void an_update_contains_only_later_changes() {
        state.apply(1, new PublicationCommand.PutDocument(1, new byte[] {1}));
        state.apply(2, new PublicationCommand.RecordTarget(sighting("a", 1), Evidence.UNDISPUTED));
        state.apply(3, new PublicationCommand.RecordTarget(sighting("b", 1), Evidence.UNDISPUTED));
        state.apply(4, new PublicationCommand.RemoveTarget("a", true));
        PublicationUpdate update = state.updateSince(2);
        assertThat(update.document()).isNull();
        assertThat(update.changed()).extracting(TargetSighting::id).containsExactly("b");
        assertThat(update.gone()).containsExactly("a");
        assertThat(update.whole()).isFalse();
    }

    /** Guards against a crashed target whose address another one has registered being taken for one that left. */
    @Test
    void an_update_names_the_removed_targets_that_left_at_their_own_request() {
        state.apply(1, new PublicationCommand.RecordTarget(sighting("left", 1), Evidence.UNDISPUTED));
        state.apply(2, new PublicationCommand.RecordTarget(sighting("silent", 1), Evidence.UNDISPUTED));
        state.apply(3, new PublicationCommand.RecordTarget(sighting("replaced", 1), Evidence.UNDISPUTED));
        state.apply(4, new PublicationCommand.RemoveTarget("left", true));
        state.apply(5, new PublicationCommand.RemoveTarget("silent", false));
        state.apply(6, new PublicationCommand.RecordTarget(successorOf("replaced"), Evidence.SETTLED));
        PublicationUpdate update = state.updateSince(3);
        assertThat(update.gone()).containsExactlyInAnyOrder("left", "silent", "replaced");
        assertThat(update.left()).containsExactly("left");
    }

    @Test
    void a_follower_without_state_gets_a_full_update() {
        state.apply(1, new PublicationCommand.PutDocument(1, new byte[] {1}));
        state.apply(2, new PublicationCommand.NameWeights("m", 3));
        PublicationUpdate update = state.updateSince(0);
        assertThat(update.whole()).isTrue();
        assertThat(update.document()).containsExactly(1);
        assertThat(update.weights()).containsExactly(new NamedWeights("m", 3, 2));
    }

    @Test
    void a_restored_state_gives_the_same_updates() {
        state.apply(1, new PublicationCommand.PutDocument(1, new byte[] {1}));
        state.apply(2, new PublicationCommand.RecordTarget(sighting("a", 1), Evidence.UNDISPUTED));
        state.apply(3, new PublicationCommand.RemoveTarget("a", false));
        PublicationState restored = PublicationState.restore(state.snapshot());
        assertThat(restored.updateSince(1).gone()).containsExactly("a");
        assertThat(restored.index()).isEqualTo(3);
        assertThat(restored.document()).containsExactly(1);
    }

    @Test
    void crashes_and_completed_requests_are_published_and_survive_a_snapshot() {
        RequestFingerprint one = new RequestFingerprint(1, 1);
        RequestFingerprint other = new RequestFingerprint(2, 2);
        state.apply(1, new PublicationCommand.RecordTarget(sighting("a", 1), Evidence.UNDISPUTED));
        state.apply(2, outcomes(List.of(new EndedTarget("t1", List.of(one, other), List.of())), List.of()));
        state.apply(3, outcomes(List.of(new EndedTarget("t2", List.of(one), List.of())), List.of(other)));
        PublicationState restored = PublicationState.restore(state.snapshot());
        assertThat(restored.suspects())
                .containsExactlyInAnyOrder(
                        new Suspect(one, List.of("t1", "t2"), 0, null, 3), Suspect.cleared(other, 3));
        assertThat(restored.updateSince(2).suspects()).hasSize(2);
        assertThat(restored.updateSince(3).suspects()).isEmpty();
    }

    @Test
    void a_repeated_crash_report_changes_nothing() {
        PublicationCommand report =
                outcomes(List.of(new EndedTarget("t1", List.of(new RequestFingerprint(1, 1)), List.of())), List.of());
        state.apply(1, report);
        assertThat(state.wouldChange(report)).isFalse();
    }

    @Test
    void a_snapshot_of_an_earlier_version_without_suspects_is_restored() {
        byte[] snapshot = MessagePackCodec.instance()
                .encode(new FormerContent(
                        4, 1, 1, new byte[] {1}, List.of(), new TargetRegistry.Content(List.of(), List.of(), 0)));
        assertThat(PublicationState.restore(snapshot).suspects()).isEmpty();
        assertThat(PublicationState.restore(snapshot).index()).isEqualTo(4);
    }

    private record FormerContent(
            long index,
            long documentVersion,
            long documentIndex,
            byte[] document,
            List<NamedWeights> weights,
            TargetRegistry.Content registry) {}

    private static PublicationCommand outcomes(List<EndedTarget> ended, List<RequestFingerprint> ranWhole) {
        return new PublicationCommand.RecordOutcomes(ended, ranWhole, List.of());
    }

    @Test
    void an_empty_state_is_restored_from_an_empty_snapshot() {
        assertThat(PublicationState.restore(new byte[0]).index()).isZero();
    }

    private static TargetSighting successorOf(String id) {
        return new TargetSighting(id + "-successor", "chat", id + ":80", "north", 4, false, 1, 1);
    }

    private static TargetSighting sighting(String id, long sequence) {
        return new TargetSighting(id, "chat", id + ":80", "north", 4, false, 1, sequence);
    }
}

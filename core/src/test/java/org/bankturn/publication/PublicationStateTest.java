package org.bankturn.publication;

import static org.assertj.core.api.Assertions.assertThat;

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
    void other_content_under_the_held_version_changes_nothing() {
        state.apply(1, new PublicationCommand.PutDocument(7, new byte[] {7}));
        state.apply(2, new PublicationCommand.PutDocument(7, new byte[] {8}));
        assertThat(state.document()).containsExactly(7);
        assertThat(state.index()).isEqualTo(1);
    }

    @Test
    void an_update_carries_only_what_changed_since() {
        state.apply(1, new PublicationCommand.PutDocument(1, new byte[] {1}));
        state.apply(2, new PublicationCommand.RecordTarget(sighting("a", 1)));
        state.apply(3, new PublicationCommand.RecordTarget(sighting("b", 1)));
        state.apply(4, new PublicationCommand.RemoveTarget("a", true));
        PublicationUpdate update = state.updateSince(2);
        assertThat(update.document()).isNull();
        assertThat(update.changed()).extracting(TargetSighting::id).containsExactly("b");
        assertThat(update.gone()).containsExactly("a");
        assertThat(update.whole()).isFalse();
    }

    @Test
    void an_asker_that_knows_nothing_gets_everything() {
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
        state.apply(2, new PublicationCommand.RecordTarget(sighting("a", 1)));
        state.apply(3, new PublicationCommand.RemoveTarget("a", false));
        PublicationState restored = PublicationState.restore(state.snapshot());
        assertThat(restored.updateSince(1).gone()).containsExactly("a");
        assertThat(restored.index()).isEqualTo(3);
        assertThat(restored.document()).containsExactly(1);
    }

    @Test
    void a_state_without_anything_is_restored_from_no_bytes() {
        assertThat(PublicationState.restore(new byte[0]).index()).isZero();
    }

    private static TargetSighting sighting(String id, long sequence) {
        return new TargetSighting(id, "chat", id + ":80", "north", 4, false, 1, sequence);
    }
}

package org.bankturn.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.crash.Suspect;
import org.bankturn.registry.TargetRegistry;
import org.junit.jupiter.api.Test;

class EvacuationStateTest {
    private static final String HALL = "north";

    private final PublicationState state = PublicationState.empty();

    private static PublicationCommand start(long lastOrderIndex) {
        return new PublicationCommand.Evacuate(HALL, true, lastOrderIndex);
    }

    private static PublicationCommand end(long lastOrderIndex) {
        return new PublicationCommand.Evacuate(HALL, false, lastOrderIndex);
    }

    private boolean isEvacuated() {
        return state.evacuationOf(HALL).map(HallEvacuation::evacuated).orElse(false);
    }

    @Test
    void an_order_is_held_with_the_index_of_its_log_entry() {
        assertThat(state.apply(4, start(0))).isTrue();
        assertThat(state.evacuations()).containsExactly(new HallEvacuation(HALL, true, 4));
        assertThat(state.apply(6, end(4))).isTrue();
        assertThat(state.evacuations()).containsExactly(new HallEvacuation(HALL, false, 6));
    }

    /** Guards against a copy of a start that is forwarded late evacuating the hall again after the end. */
    @Test
    void a_late_copy_of_a_start_changes_nothing_after_the_end() {
        state.apply(1, start(0));
        state.apply(2, end(1));
        assertThat(state.apply(3, start(0))).isFalse();
        assertThat(isEvacuated()).isFalse();
        assertThat(state.index()).isEqualTo(2);
    }

    /** Guards against a late copy of an end that was given up reverting a start that changed nothing itself. */
    @Test
    void an_order_for_the_current_state_invalidates_earlier_copies_of_the_opposite_order() {
        state.apply(1, start(0));
        PublicationCommand delayedEnd = end(state.lastOrderIndex(HALL));
        assertThat(state.apply(2, start(1))).isTrue();
        assertThat(state.apply(3, delayedEnd)).isFalse();
        assertThat(isEvacuated()).isTrue();
    }

    /** Guards against the second of two copies being answered as without effect although the hall is evacuated. */
    @Test
    void both_copies_of_an_order_that_was_sent_to_two_processes_take_effect() {
        assertThat(state.apply(1, start(0))).isTrue();
        assertThat(state.apply(2, start(0))).isTrue();
        assertThat(isEvacuated()).isTrue();
    }

    /** Guards against an order that lost the race with a later one being acknowledged. */
    @Test
    void of_two_opposite_orders_received_in_the_same_state_only_the_first_takes_effect() {
        state.apply(1, start(0));
        assertThat(state.apply(2, end(1))).isTrue();
        assertThat(state.apply(3, start(1))).isFalse();
        assertThat(isEvacuated()).isFalse();
    }

    /** Guards against the order of one hall invalidating that of another one. */
    @Test
    void orders_of_different_halls_are_independent() {
        state.apply(1, start(0));
        assertThat(state.apply(2, new PublicationCommand.Evacuate("south", true, 0)))
                .isTrue();
        assertThat(state.apply(3, end(1))).isTrue();
        assertThat(state.evacuationOf("south")).contains(new HallEvacuation("south", true, 2));
    }

    /** Guards against a snapshot losing an evacuation or the index with which late copies are compared. */
    @Test
    void evacuations_and_ended_evacuations_survive_a_snapshot() {
        state.apply(1, start(0));
        state.apply(2, end(1));
        state.apply(3, new PublicationCommand.Evacuate("south", true, 0));
        PublicationState restored = PublicationState.restore(state.snapshot());
        assertThat(restored.evacuations())
                .containsExactly(new HallEvacuation(HALL, false, 2), new HallEvacuation("south", true, 3));
        assertThat(restored.apply(4, start(0))).isFalse();
    }

    /** Guards against a follower that already holds a state never learning that an evacuation began or ended. */
    @Test
    void updates_that_are_not_whole_carry_every_evacuation() {
        state.apply(1, new PublicationCommand.PutDocument(1, new byte[] {1}));
        state.apply(2, start(0));
        assertThat(state.updateSince(1).whole()).isFalse();
        assertThat(state.updateSince(1).evacuations()).containsExactly(new HallEvacuation(HALL, true, 2));
        state.apply(3, end(2));
        assertThat(state.updateSince(2).evacuations()).containsExactly(new HallEvacuation(HALL, false, 3));
        state.apply(4, new PublicationCommand.PutDocument(2, new byte[] {2}));
        assertThat(state.updateSince(3).evacuations()).containsExactly(new HallEvacuation(HALL, false, 3));
    }

    /** Guards against an update of the software making the stored snapshots unreadable. */
    @Test
    void a_snapshot_of_an_earlier_version_without_evacuations_is_restored() {
        byte[] snapshot = MessagePackCodec.instance()
                .encode(new FormerContent(
                        4,
                        1,
                        1,
                        new byte[] {1},
                        List.of(),
                        new TargetRegistry.Content(List.of(), List.of(), 0),
                        List.of()));
        PublicationState restored = PublicationState.restore(snapshot);
        assertThat(restored.evacuations()).isEmpty();
        assertThat(restored.index()).isEqualTo(4);
        assertThat(restored.apply(5, start(0))).isTrue();
    }

    private record FormerContent(
            long index,
            long documentVersion,
            long documentIndex,
            byte[] document,
            List<NamedWeights> weights,
            TargetRegistry.Content registry,
            List<Suspect> suspects) {}
}

package org.bankturn.daemon.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bankturn.publication.HallEvacuation;
import org.bankturn.publication.PublicationUpdate;
import org.junit.jupiter.api.Test;

class PublishedStateTest {
    /** Guards against a follower that keeps an evacuation after its end was published. */
    @Test
    void an_update_that_is_not_whole_starts_and_ends_evacuations() {
        PublishedState started = PublishedState.EMPTY.after(update(1, new HallEvacuation("north", true, 1)), null);
        assertThat(started.evacuatedHalls()).containsExactly("north");
        assertThat(started.confirm().evacuatedHalls()).containsExactly("north");
        PublishedState ended = started.after(update(2, new HallEvacuation("north", false, 2)), null);
        assertThat(ended.evacuatedHalls()).isEmpty();
    }

    /** Guards against a control process of an earlier version, which knows no evacuation, ending all of them. */
    @Test
    void an_update_of_an_earlier_version_ends_no_evacuation() {
        PublishedState started = PublishedState.EMPTY.after(update(1, new HallEvacuation("north", true, 1)), null);
        PublicationUpdate earlier =
                new PublicationUpdate(2, 0, null, List.of(), List.of(), List.of(), List.of(), true, null, null, null);
        assertThat(started.after(earlier, null).evacuatedHalls()).containsExactly("north");
    }

    private static PublicationUpdate update(long index, HallEvacuation... evacuations) {
        return new PublicationUpdate(
                index,
                0,
                null,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false,
                List.of(evacuations),
                List.of(),
                List.of());
    }

    /** Guards against a departure of an earlier update being taken for one of the last update. */
    @Test
    void a_state_names_the_targets_that_its_last_update_removed_at_their_own_request() {
        PublicationUpdate removal = new PublicationUpdate(
                1,
                0,
                null,
                List.of(),
                List.of(),
                List.of("a", "b"),
                List.of(),
                false,
                List.of(),
                List.of(),
                List.of("b"));
        PublishedState after = PublishedState.EMPTY.after(removal, null);
        assertThat(after.left()).containsExactly("b");
        assertThat(after.confirm().left()).isEmpty();
        assertThat(after.after(update(2), null).left()).isEmpty();
    }
}

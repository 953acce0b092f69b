package org.bankturn.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.publication.PublicationCommand;
import org.junit.jupiter.api.Test;

/**
 * A cut held back a heartbeat of a target that then crashed; another one started at its address and was listed. When the
 * delayed heartbeat arrived, it took the place of the live target, whose own heartbeats were ignored until the dead one had
 * been silent for long. Once the live one had been dropped for silence, such a word listed the dead one again.
 */
class DelayedHeartbeatTest {
    private static final String ADDRESS = "10.0.0.1:80";

    private final TargetRegistry registry = TargetRegistry.empty();

    @Test
    void a_delayed_word_of_a_start_that_was_never_heard_of_displaces_nobody() {
        registry.record(1, word("later", 3), Evidence.UNDISPUTED);
        registry.record(2, word("former", 9), Evidence.UNDISPUTED);
        assertThat(listed()).containsExactly("later");
    }

    @Test
    void a_delayed_word_lists_nobody_after_the_later_start_was_dropped_for_silence() {
        registry.record(1, word("former", 1), Evidence.UNDISPUTED);
        registry.record(2, word("later", 1), Evidence.SETTLED);
        registry.remove(3, "later", false);
        registry.record(4, word("former", 9), Evidence.UNDISPUTED);
        assertThat(listed()).isEmpty();
    }

    @Test
    void a_delayed_word_lists_nobody_after_the_later_start_left_though_the_former_was_never_heard_of() {
        registry.record(1, word("later", 1), Evidence.UNDISPUTED);
        registry.remove(2, "later", true);
        registry.record(3, word("former", 9), Evidence.UNDISPUTED);
        assertThat(listed()).isEmpty();
    }

    @Test
    void a_start_that_was_found_at_its_address_takes_the_place_of_the_one_that_is_listed() {
        registry.record(1, word("former", 9), Evidence.UNDISPUTED);
        registry.record(2, word("later", 1), Evidence.SETTLED);
        assertThat(listed()).containsExactly("later");
    }

    @Test
    void a_start_that_was_wrongly_displaced_returns_once_it_was_found_at_its_address() {
        registry.record(1, word("later", 3), Evidence.UNDISPUTED);
        registry.record(2, word("former", 9), Evidence.SETTLED);
        registry.record(3, word("later", 4), Evidence.SETTLED);
        assertThat(listed()).containsExactly("later");
    }

    @Test
    void a_start_that_fell_silent_returns_without_doubt_where_no_other_came_since() {
        registry.record(1, word("former", 9), Evidence.UNDISPUTED);
        registry.record(2, word("later", 1), Evidence.SETTLED);
        registry.remove(3, "later", false);
        assertThat(registry.hasAddressConflict(word("later", 2))).isFalse();
        registry.record(4, word("later", 2), Evidence.UNDISPUTED);
        assertThat(listed()).containsExactly("later");
    }

    @Test
    void a_later_start_under_the_same_name_is_told_by_its_birth() {
        registry.record(1, born("a", 100, 9), Evidence.UNDISPUTED);
        assertThat(registry.hasAddressConflict(born("a", 200, 1))).isFalse();
        registry.record(2, born("a", 200, 1), Evidence.UNDISPUTED);
        registry.record(3, born("a", 100, 10), Evidence.SETTLED);
        assertThat(listed()).containsExactly(TargetSighting.incarnation("a", 200));
    }

    @Test
    void a_restored_registry_has_the_same_doubts() {
        registry.record(1, word("former", 1), Evidence.UNDISPUTED);
        registry.record(2, word("later", 1), Evidence.SETTLED);
        registry.remove(3, "later", false);
        TargetRegistry restored = TargetRegistry.restore(registry.content());
        assertThat(restored.hasAddressConflict(word("former", 9))).isTrue();
        assertThat(restored.hasAddressConflict(word("unheard", 9))).isTrue();
        assertThat(restored.hasAddressConflict(word("later", 2))).isFalse();
    }

    @Test
    void a_command_that_an_earlier_version_stored_is_applied_as_it_was() {
        byte[] stored = MessagePackCodec.instance().encode(Map.of("do", "target", "sighting", word("a", 1)));
        PublicationCommand read = MessagePackCodec.instance().decode(stored, PublicationCommand.class);
        assertThat(read).isEqualTo(new PublicationCommand.RecordTarget(word("a", 1), Evidence.ARRIVAL));
    }

    private List<String> listed() {
        return registry.all().stream().map(each -> each.sighting().id()).toList();
    }

    private static TargetSighting word(String id, long sequence) {
        return new TargetSighting(id, "chat", ADDRESS, "north", 4, false, 1, sequence);
    }

    private static TargetSighting born(String name, long bornMillis, long sequence) {
        return new TargetSighting(
                TargetSighting.incarnation(name, bornMillis),
                name,
                bornMillis,
                "chat",
                ADDRESS,
                "north",
                4,
                false,
                1,
                sequence);
    }
}

package org.bankturn.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.publication.PublicationCommand;
import org.junit.jupiter.api.Test;

/**
 * Guards against a delayed heartbeat of a crashed target displacing the live target at the same address, or registering
 * the crashed one again after the live one was removed.
 */
class DelayedHeartbeatTest {
    private static final String ADDRESS = "10.0.0.1:80";

    private final TargetRegistry registry = TargetRegistry.empty();

    @Test
    void a_delayed_heartbeat_of_an_unknown_incarnation_displaces_no_target() {
        registry.record(1, sighting("later", 3), Evidence.UNDISPUTED);
        registry.record(2, sighting("former", 9), Evidence.UNDISPUTED);
        assertThat(registered()).containsExactly("later");
    }

    @Test
    void a_delayed_heartbeat_registers_nothing_after_the_later_target_timed_out() {
        registry.record(1, sighting("former", 1), Evidence.UNDISPUTED);
        registry.record(2, sighting("later", 1), Evidence.SETTLED);
        registry.remove(3, "later", false);
        registry.record(4, sighting("former", 9), Evidence.UNDISPUTED);
        assertThat(registered()).isEmpty();
    }

    @Test
    void a_delayed_heartbeat_of_an_unknown_incarnation_registers_nothing_after_the_later_target_left() {
        registry.record(1, sighting("later", 1), Evidence.UNDISPUTED);
        registry.remove(2, "later", true);
        registry.record(3, sighting("former", 9), Evidence.UNDISPUTED);
        assertThat(registered()).isEmpty();
    }

    @Test
    void an_incarnation_verified_at_its_address_replaces_the_registered_one() {
        registry.record(1, sighting("former", 9), Evidence.UNDISPUTED);
        registry.record(2, sighting("later", 1), Evidence.SETTLED);
        assertThat(registered()).containsExactly("later");
    }

    @Test
    void a_wrongly_displaced_incarnation_returns_once_verified_at_its_address() {
        registry.record(1, sighting("later", 3), Evidence.UNDISPUTED);
        registry.record(2, sighting("former", 9), Evidence.SETTLED);
        registry.record(3, sighting("later", 4), Evidence.SETTLED);
        assertThat(registered()).containsExactly("later");
    }

    @Test
    void a_timed_out_incarnation_returns_without_a_conflict_if_no_other_followed() {
        registry.record(1, sighting("former", 9), Evidence.UNDISPUTED);
        registry.record(2, sighting("later", 1), Evidence.SETTLED);
        registry.remove(3, "later", false);
        assertThat(registry.hasAddressConflict(sighting("later", 2))).isFalse();
        registry.record(4, sighting("later", 2), Evidence.UNDISPUTED);
        assertThat(registered()).containsExactly("later");
    }

    @Test
    void a_later_incarnation_of_the_same_name_is_identified_by_its_start_time() {
        registry.record(1, restarted("a", 100, 9), Evidence.UNDISPUTED);
        assertThat(registry.hasAddressConflict(restarted("a", 200, 1))).isFalse();
        registry.record(2, restarted("a", 200, 1), Evidence.UNDISPUTED);
        registry.record(3, restarted("a", 100, 10), Evidence.SETTLED);
        assertThat(registered()).containsExactly(TargetSighting.incarnation("a", 200));
    }

    @Test
    void a_restored_registry_has_the_same_address_conflicts() {
        registry.record(1, sighting("former", 1), Evidence.UNDISPUTED);
        registry.record(2, sighting("later", 1), Evidence.SETTLED);
        registry.remove(3, "later", false);
        TargetRegistry restored = TargetRegistry.restore(registry.content());
        assertThat(restored.hasAddressConflict(sighting("former", 9))).isTrue();
        assertThat(restored.hasAddressConflict(sighting("unheard", 9))).isTrue();
        assertThat(restored.hasAddressConflict(sighting("later", 2))).isFalse();
    }

    @Test
    void a_command_stored_by_an_earlier_version_decodes_with_arrival_evidence() {
        byte[] stored = MessagePackCodec.instance().encode(Map.of("do", "target", "sighting", sighting("a", 1)));
        PublicationCommand read = MessagePackCodec.instance().decode(stored, PublicationCommand.class);
        assertThat(read).isEqualTo(new PublicationCommand.RecordTarget(sighting("a", 1), Evidence.ARRIVAL));
    }

    private List<String> registered() {
        return registry.all().stream().map(each -> each.sighting().id()).toList();
    }

    private static TargetSighting sighting(String id, long sequence) {
        return new TargetSighting(id, "chat", ADDRESS, "north", 4, false, 1, sequence);
    }

    private static TargetSighting restarted(String name, long bornMillis, long sequence) {
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

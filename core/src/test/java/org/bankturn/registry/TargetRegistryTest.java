package org.bankturn.registry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TargetRegistryTest {
    private final TargetRegistry registry = TargetRegistry.empty();

    @Test
    void a_draining_target_never_becomes_ready_again() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 1));
        registry.record(2, sighting("a", "10.0.0.1:80", true, 2));
        registry.record(3, sighting("a", "10.0.0.1:80", false, 3));
        assertThat(registry.find("a").orElseThrow().sighting().draining()).isTrue();
    }

    @Test
    void a_late_heartbeat_changes_nothing() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 5));
        assertThat(registry.wouldChange(sighting("a", "10.0.0.1:80", true, 4))).isFalse();
    }

    @Test
    void a_target_that_left_is_never_registered_again() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 1));
        registry.remove(2, "a", true);
        registry.record(3, sighting("a", "10.0.0.1:80", false, 9));
        assertThat(registry.all()).isEmpty();
        assertThat(registry.hasLeft("a")).isTrue();
    }

    @Test
    void a_timed_out_target_returns_only_with_a_newer_heartbeat() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 7));
        registry.remove(2, "a", false);
        assertThat(registry.wouldChange(sighting("a", "10.0.0.1:80", false, 7))).isFalse();
        registry.record(3, sighting("a", "10.0.0.1:80", false, 8));
        assertThat(registry.find("a")).isPresent();
    }

    @Test
    void another_incarnation_at_an_address_replaces_the_former() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 7));
        registry.record(2, sighting("b", "10.0.0.1:80", false, 1));
        assertThat(registry.find("a")).isEmpty();
        assertThat(registry.find("b")).isPresent();
    }

    @Test
    void a_late_heartbeat_of_the_former_incarnation_does_not_bring_it_back() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 7));
        registry.record(2, sighting("b", "10.0.0.1:80", false, 1));
        registry.record(3, sighting("a", "10.0.0.1:80", false, 6));
        assertThat(registry.find("b")).isPresent();
    }

    /** Unchanged heartbeats are not recorded, so a delayed one may have a higher sequence than the recorded one. */
    @Test
    void a_delayed_heartbeat_of_a_replaced_incarnation_does_not_displace_its_successor() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 1));
        registry.record(2, sighting("b", "10.0.0.1:80", false, 1));
        registry.record(3, sighting("a", "10.0.0.1:80", false, 9));
        assertThat(registry.find("b")).isPresent();
        assertThat(registry.find("a")).isEmpty();
    }

    @Test
    void a_delayed_heartbeat_of_a_timed_out_incarnation_does_not_displace_its_successor() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 1));
        registry.remove(2, "a", false);
        registry.record(3, sighting("b", "10.0.0.1:80", false, 1));
        registry.record(4, sighting("a", "10.0.0.1:80", false, 9));
        assertThat(registry.find("b")).isPresent();
    }

    /** Guards against ignoring the heartbeats of a restarted target, whose sequence starts again. */
    @Test
    void a_later_incarnation_of_the_same_name_replaces_the_former_whatever_its_sequence() {
        registry.record(1, restarted("a", 100, "10.0.0.1:80", 7));
        registry.record(2, restarted("a", 200, "10.0.0.2:80", 1));
        assertThat(registry.all()).singleElement().satisfies(record -> {
            assertThat(record.sighting().address()).isEqualTo("10.0.0.2:80");
            assertThat(record.sighting().bornMillis()).isEqualTo(200);
        });
    }

    @Test
    void a_late_heartbeat_of_an_earlier_incarnation_changes_nothing() {
        registry.record(1, restarted("a", 200, "10.0.0.2:80", 1));
        registry.record(2, sighting("b", "10.0.0.1:80", false, 1));
        registry.record(3, restarted("a", 100, "10.0.0.1:80", 9));
        assertThat(registry.find("b")).isPresent();
        assertThat(registry.findByName("a"))
                .map(each -> each.sighting().bornMillis())
                .contains(200L);
    }

    @Test
    void a_late_heartbeat_of_an_earlier_incarnation_changes_nothing_after_the_later_one_timed_out() {
        registry.record(1, restarted("a", 200, "10.0.0.2:80", 1));
        registry.remove(2, TargetSighting.incarnation("a", 200), false);
        registry.record(3, restarted("a", 100, "10.0.0.1:80", 9));
        assertThat(registry.all()).isEmpty();
    }

    @Test
    void leaving_applies_to_an_incarnation_and_not_to_the_name() {
        registry.record(1, restarted("a", 100, "10.0.0.1:80", 7));
        registry.remove(2, TargetSighting.incarnation("a", 100), true);
        registry.record(3, restarted("a", 100, "10.0.0.1:80", 8));
        assertThat(registry.all()).isEmpty();
        registry.record(4, restarted("a", 200, "10.0.0.1:80", 1));
        assertThat(registry.findByName("a")).isPresent();
    }

    /** Guards against an earlier incarnation staying registered when the later one leaves before it was registered. */
    @Test
    void an_unregistered_incarnation_that_leaves_removes_earlier_incarnations() {
        registry.record(1, restarted("a", 100, "10.0.0.1:80", 1));
        registry.remove(2, TargetSighting.incarnation("a", 200), "a", 200, true);
        assertThat(registry.all()).isEmpty();
        assertThat(registry.wouldChange(restarted("a", 100, "10.0.0.1:80", 2))).isFalse();
    }

    @Test
    void a_restored_registry_rejects_earlier_incarnations() {
        registry.record(1, restarted("a", 100, "10.0.0.1:80", 7));
        registry.record(2, restarted("a", 200, "10.0.0.2:80", 1));
        TargetRegistry restored = TargetRegistry.restore(registry.content());
        assertThat(restored.wouldChange(restarted("a", 100, "10.0.0.1:80", 9))).isFalse();
    }

    private static TargetSighting restarted(String name, long bornMillis, String address, long sequence) {
        return new TargetSighting(
                TargetSighting.incarnation(name, bornMillis),
                name,
                bornMillis,
                "chat",
                address,
                "north",
                4,
                false,
                1,
                sequence);
    }

    @Test
    void a_restored_registry_has_equal_content() {
        registry.record(1, sighting("a", "10.0.0.1:80", false, 7));
        registry.record(2, sighting("b", "10.0.0.2:80", true, 7));
        registry.remove(3, "a", true);
        assertThat(TargetRegistry.restore(registry.content()).content()).isEqualTo(registry.content());
    }

    private static TargetSighting sighting(String id, String address, boolean draining, long sequence) {
        return new TargetSighting(id, "chat", address, "north", 4, draining, 1, sequence);
    }
}

package org.bankturn.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class HeartbeatTableTest {
    private final ManualClock clock = ManualClock.startingAt(0);
    private final HeartbeatTable table = HeartbeatTable.of(clock, 100);

    @Test
    void a_target_is_silent_only_after_the_timeout() {
        table.record(List.of("a", "b"));
        clock.advance(60);
        table.record(List.of("b"));
        clock.advance(60);
        assertThat(table.findSilent(List.of("a", "b"))).containsExactly("a");
    }

    @Test
    void a_new_leader_restarts_the_timeout_of_every_target() {
        table.record(List.of("a"));
        clock.advance(90);
        table.restart();
        assertThat(table.findSilent(List.of("a"))).isEmpty();
        clock.advance(90);
        assertThat(table.findSilent(List.of("a"))).isEmpty();
        clock.advance(20);
        assertThat(table.findSilent(List.of("a"))).containsExactly("a");
    }
}

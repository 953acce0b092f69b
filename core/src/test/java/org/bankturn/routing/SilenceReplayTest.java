package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** 83 requests a second to eight targets; in the second after the silence began 83 arrive. */
class SilenceReplayTest {
    private static final int SENT_BEFORE_DETECTION = 25;
    private static final int ARRIVED = 83;

    /** Kept connections that are trusted for good take all requests until none is left. */
    @Test
    void requests_are_in_time_again_as_soon_as_no_target_has_spoken_for_a_while() {
        SilenceReplay detecting = SilenceReplay.simulate(true);
        SilenceReplay reusingAll = SilenceReplay.simulate(false);
        System.out.printf(
                "ran into silence, in time: %d, %d; trusting every kept connection: %d, %d%n",
                detecting.sentOnSilentConnections(),
                detecting.inTime(),
                reusingAll.sentOnSilentConnections(),
                reusingAll.inTime());
        assertThat(detecting.sentOnSilentConnections()).isLessThanOrEqualTo(SENT_BEFORE_DETECTION);
        assertThat(detecting.inTime()).isGreaterThanOrEqualTo(ARRIVED - SENT_BEFORE_DETECTION);
        assertThat(reusingAll.sentOnSilentConnections()).isGreaterThan(2 * SENT_BEFORE_DETECTION);
        assertThat(reusingAll.inTime()).isLessThan(ARRIVED - 2 * SENT_BEFORE_DETECTION);
    }
}

package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Simulates 83 requests per second to eight targets whose connections become silent. */
class SilenceReplayTest {
    private static final int SENT_BEFORE_DETECTION = 25;
    private static final int ARRIVED = 83;

    /** Guards against losing requests on silent pooled connections until all of them have timed out. */
    @Test
    void requests_recover_once_silence_is_detected() {
        SilenceReplay detecting = SilenceReplay.simulate(true);
        SilenceReplay reusingAll = SilenceReplay.simulate(false);
        System.out.printf(
                "sent on silent connections, in time: %d, %d; reusing all connections: %d, %d%n",
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

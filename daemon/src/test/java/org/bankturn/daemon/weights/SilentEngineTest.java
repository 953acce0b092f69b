package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.SilencingRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a silent persistent connection to an engine blocking load reports, which made gateways treat the engine as
 * unreachable.
 */
@Timeout(60)
class SilentEngineTest extends AgentFixture {
    private SilencingRelay relay;

    @Override
    Address routeTo(Address engineAddress) throws IOException {
        relay = SilencingRelay.inFrontOf(engineAddress);
        return relay.address();
    }

    @AfterEach
    void closeRelay() throws IOException {
        relay.close();
    }

    @Test
    void load_is_reported_when_persistent_connection_went_silent() {
        publishLayout();
        assertThat(requestLoad().active()).isEqualTo(1);
        relay.silence();
        assertThat(requestLoad()).isNotNull();
        assertThat(requestLoad().active()).isEqualTo(reports.get());
    }

    @Test
    void connection_to_responsive_engine_is_reused() {
        publishLayout();
        for (int report = 1; report <= 10; report++) {
            assertThat(requestLoad().active()).isEqualTo(report);
        }
        assertThat(relay.openedConnections()).isLessThan(10);
    }
}

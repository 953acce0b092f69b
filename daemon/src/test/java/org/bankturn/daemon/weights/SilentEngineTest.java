package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.SilencingRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The process beside an engine whose kept connection to it went silent.
 *
 * <p>The connection to one engine went silent for good while new ones worked. The process beside the engine asked for a
 * report on it, waited 1,500 ms for the answer, and told every gateway that asked meanwhile nothing: they had only a load of
 * more than a second ago, which counts as none, and so took the engine for one that cannot be reached.
 */
@Timeout(60)
class SilentEngineTest extends AgentFixture {
    private SilencingRelay relay;

    @Override
    Address routeTo(Address engineAddress) throws IOException {
        relay = SilencingRelay.before(engineAddress);
        return relay.address();
    }

    @AfterEach
    void closeRelay() throws IOException {
        relay.close();
    }

    @Test
    void gateways_are_told_the_load_of_an_engine_whose_kept_connection_went_silent() {
        publishLayout();
        assertThat(requestLoad().active()).isEqualTo(1);
        relay.silence();
        assertThat(requestLoad()).isNotNull();
        assertThat(requestLoad().active()).isEqualTo(reports.get());
    }

    @Test
    void a_connection_to_an_engine_that_answers_is_used_again() {
        publishLayout();
        for (int report = 1; report <= 10; report++) {
            assertThat(requestLoad().active()).isEqualTo(report);
        }
        assertThat(relay.opened()).isLessThan(10);
    }
}

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.crash.RunEnd;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AttemptEndingTest {
    /** Guards against an ending after which a crash of the target counts against nothing. */
    @ParameterizedTest
    @EnumSource(
            value = AttemptEnding.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"ANSWERED", "ERROR_STATUS", "NOT_RUN", "HELD_BACK", "DISALLOWED", "NOT_CONNECTED"})
    void a_request_whose_response_is_not_complete_may_still_run(AttemptEnding ending) {
        assertThat(ending.runEnd()).isEqualTo(RunEnd.UNKNOWN);
    }
}

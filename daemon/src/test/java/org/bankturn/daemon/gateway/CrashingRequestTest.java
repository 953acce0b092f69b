package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against a repeated request, sent under new ids with the same path, account and body, that crashes every target
 * that runs it.
 */
class CrashingRequestTest extends GatewayFixture {
    private static final int CALLS = 20;
    private static final int SENDS_PER_CALL = 2;
    private static final int CRASHES_TO_CONDEMN = 3;
    private static final String CRASHING_BODY = "deadly";

    private final AtomicInteger crashedTargets = new AtomicInteger();

    @Test
    void a_request_that_crashed_three_targets_is_sent_to_no_other() throws Exception {
        publish(RequestKind.IDEMPOTENT, SENDS_PER_CALL, crashingTargets(SENDS_PER_CALL * CALLS));
        for (int call = 0; call < CALLS; call++) {
            call("POST", "r" + call, CRASHING_BODY);
        }
        assertThat(crashedTargets.get()).isEqualTo(CRASHES_TO_CONDEMN);
        assertThat(call("POST", "last", CRASHING_BODY))
                .startsWith("HTTP/1.1 429")
                .contains("Come-Back: ");
        assertThat(call("POST", "sound", "other")).startsWith("HTTP/1.1 200");
    }

    /** Guards against a successor at a crashed target's address being taken for a sign of life of that target. */
    @Test
    void a_request_that_crashed_three_targets_is_sent_to_no_other_although_their_addresses_accept_connections()
            throws Exception {
        ScriptedTarget[] targets = new ScriptedTarget[SENDS_PER_CALL * CALLS];
        for (int index = 0; index < targets.length; index++) {
            targets[index] = register(CrashingTarget.crashingOnWithSuccessor(CRASHING_BODY, crashedTargets));
        }
        publish(RequestKind.IDEMPOTENT, SENDS_PER_CALL, targets);
        for (int call = 0; call < CALLS; call++) {
            call("POST", "r" + call, CRASHING_BODY);
        }
        assertThat(crashedTargets.get()).isEqualTo(CRASHES_TO_CONDEMN);
        assertThat(call("POST", "last", CRASHING_BODY)).startsWith("HTTP/1.1 429");
        assertThat(call("POST", "sound", "other")).startsWith("HTTP/1.1 200");
    }

    @Test
    void targets_that_reset_connections_but_stay_up_do_not_condemn_a_request() throws Exception {
        ScriptedTarget[] targets = new ScriptedTarget[SENDS_PER_CALL * CALLS];
        for (int index = 0; index < targets.length; index++) {
            targets[index] = register(new ScriptedTarget((number, id, socket) -> {
                ScriptedTarget.reset(socket);
                return false;
            }));
        }
        publish(RequestKind.IDEMPOTENT, SENDS_PER_CALL, targets);
        for (int call = 0; call < CALLS; call++) {
            assertThat(call("POST", "r" + call, "body")).startsWith("HTTP/1.1 502");
        }
    }

    private ScriptedTarget[] crashingTargets(int count) throws IOException {
        ScriptedTarget[] targets = new ScriptedTarget[count];
        for (int index = 0; index < count; index++) {
            targets[index] = register(CrashingTarget.crashingOn(CRASHING_BODY, crashedTargets));
        }
        return targets;
    }
}

package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * A request that ends every target that begins to run it, and comes again and again.
 *
 * <p>One such request came back under new ids with the same path, account and body. Each time it was sent to two targets,
 * which ended; after 20 calls 40 targets had ended, and the last call was sent on as the first had been. The log had, for
 * each of them, "retried ... CLOSED, sends 1" and "failed ... attempts used up, sends 2": a gateway counted the attempts of
 * a request and the retries of a service, and remembered nothing of what had been retried.
 */
class DeadlyRequestTest extends GatewayFixture {
    private static final int CALLS = 20;
    private static final int SENDS_OF_ONE_CALL = 2;
    private static final int CONDEMNATION_THRESHOLD = 3;
    private static final String DEADLY = "deadly";

    private final AtomicInteger ended = new AtomicInteger();

    @Test
    void a_request_under_which_three_targets_ended_is_sent_to_no_other() throws Exception {
        publish(RequestKind.IDEMPOTENT, SENDS_OF_ONE_CALL, fragile(SENDS_OF_ONE_CALL * CALLS));
        for (int call = 0; call < CALLS; call++) {
            call("POST", "r" + call, DEADLY);
        }
        assertThat(ended.get()).isEqualTo(CONDEMNATION_THRESHOLD);
        assertThat(call("POST", "last", DEADLY)).startsWith("HTTP/1.1 429").contains("Come-Back: ");
        assertThat(call("POST", "sound", "other")).startsWith("HTTP/1.1 200");
    }

    @Test
    void targets_that_break_off_and_live_on_do_not_condemn_a_request() throws Exception {
        ScriptedTarget[] targets = new ScriptedTarget[SENDS_OF_ONE_CALL * CALLS];
        for (int index = 0; index < targets.length; index++) {
            targets[index] = keep(new ScriptedTarget((number, id, socket) -> {
                ScriptedTarget.reset(socket);
                return false;
            }));
        }
        publish(RequestKind.IDEMPOTENT, SENDS_OF_ONE_CALL, targets);
        for (int call = 0; call < CALLS; call++) {
            assertThat(call("POST", "r" + call, "body")).startsWith("HTTP/1.1 502");
        }
    }

    private ScriptedTarget[] fragile(int count) throws IOException {
        ScriptedTarget[] targets = new ScriptedTarget[count];
        for (int index = 0; index < count; index++) {
            targets[index] = keep(FragileTarget.endingWith(DEADLY, ended));
        }
        return targets;
    }
}

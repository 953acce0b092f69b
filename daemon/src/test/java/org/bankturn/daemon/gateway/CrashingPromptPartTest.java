package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.gateway.CrashingTarget.CrashResponse;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against different requests that share a prompt part which crashes every target that runs it. */
class CrashingPromptPartTest extends GatewayFixture {
    private static final int SENDS_PER_CALL = 2;
    private static final int CALLS = 40;
    private static final String CRASHING = "bad";

    /** Five crashes reveal the part; three more are tolerated until all processes know it. */
    private static final int MAX_CRASHES = 8;

    private final AtomicInteger crashes = new AtomicInteger();

    @ParameterizedTest
    @EnumSource
    void a_part_in_the_middle_that_crashed_five_targets_is_sent_to_no_other(CrashResponse response) throws Exception {
        publishCrashingTargets(response);
        assertRefusedAfterFewCrashes("first,bad,");
        assertThat(callWithParts("first,own", "sound")).startsWith("HTTP/1.1 200");
    }

    @ParameterizedTest
    @EnumSource
    void a_first_part_that_crashed_five_targets_is_sent_to_no_other(CrashResponse response) throws Exception {
        publishCrashingTargets(response);
        assertRefusedAfterFewCrashes("bad,");
        assertThat(callWithParts("other,own", "sound")).startsWith("HTTP/1.1 200");
    }

    @Test
    void the_last_part_is_never_refused_in_other_requests() throws Exception {
        publishCrashingTargets(CrashResponse.TRUNCATED);
        assertRefusedAfterFewCrashes("bad,");
        assertThat(callWithParts("other,own1", "sound")).startsWith("HTTP/1.1 200");
        assertThat(callWithParts("own1,own", "sound")).startsWith("HTTP/1.1 200");
    }

    /** Guards against requests that are sent on, one after the other, before the crashes of their targets are certain. */
    @Test
    void a_part_is_sent_to_no_further_target_while_crashes_that_condemn_it_are_uncertain() throws Exception {
        ScriptedTarget[] targets = new ScriptedTarget[SENDS_PER_CALL * CALLS];
        for (int index = 0; index < targets.length; index++) {
            ScriptedTarget[] self = new ScriptedTarget[1];
            self[0] = register(new ScriptedTarget((number, id, socket) -> {
                crashes.incrementAndGet();
                self[0].crashWithLatePort();
                return false;
            }));
            targets[index] = self[0];
        }
        publish(RequestKind.IDEMPOTENT, SENDS_PER_CALL, targets);
        assertRefusedAfterFewCrashes("first,bad,");
    }

    /** Sends different requests with the crashing part until one is refused, and then more of them. */
    private void assertRefusedAfterFewCrashes(String sharedParts) throws IOException {
        int number = 0;
        while (!callWithParts(sharedParts + "own" + number, "body" + number).startsWith("HTTP/1.1 429")) {
            assertThat(crashes.get()).isLessThanOrEqualTo(MAX_CRASHES);
            number++;
        }
        int crashesBefore = crashes.get();
        for (int call = 0; call < CALLS; call++) {
            assertThat(callWithParts(sharedParts + "later" + call, "later" + call))
                    .startsWith("HTTP/1.1 429")
                    .contains("Come-Back: ");
        }
        assertThat(crashes.get()).isEqualTo(crashesBefore);
    }

    private String callWithParts(String parts, String body) throws IOException {
        return exchange("POST /x/1 HTTP/1.1\r\nHost: h\r\nId: " + body + "\r\nParts: " + parts
                + "\r\nDeadline: 5000\r\nKey: k\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body);
    }

    private void publishCrashingTargets(CrashResponse response) throws IOException {
        ScriptedTarget[] crashing = new ScriptedTarget[SENDS_PER_CALL * CALLS];
        for (int index = 0; index < crashing.length; index++) {
            crashing[index] = register(CrashingTarget.crashingOnPart(CRASHING, response, crashes));
        }
        publish(RequestKind.IDEMPOTENT, SENDS_PER_CALL, crashing);
    }
}

package org.bankturn.daemon.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import org.bankturn.daemon.gateway.CrashingTarget;
import org.bankturn.daemon.gateway.CrashingTarget.CrashResponse;
import org.bankturn.daemon.gateway.ScriptedTarget;
import org.bankturn.daemon.settings.Address;
import org.junit.jupiter.api.Test;

/** Gateways must share the crashes that a prompt part causes, since each sees only some of the requests that have it. */
class CrashingPromptPartAcrossGatewaysTest extends ServingFixture {
    private static final int TARGETS = 48;
    private static final int CALLS_AFTER_CONDEMNATION = 20;
    private static final int STATUS_CONDEMNED = 429;
    private static final String CRASHING = "bad";
    private static final String BODY = "body";

    /** Five crashes observed by each of the two gateways, and one further attempt in progress at each. */
    private static final int MAX_CRASHES = 12;

    private static final Pattern CONDEMNED_PART = Pattern.compile("\"part\":\"bad\"[^}]*\"sentToNoTarget\":true");

    private final AtomicInteger crashes = new AtomicInteger();
    private int calls;

    @Test
    void crashes_at_different_gateways_stop_all_requests_with_the_part_at_all_gateways() throws Exception {
        List<ScriptedTarget> targets = new ArrayList<>();
        for (int target = 0; target < TARGETS; target++) {
            targets.add(announce(CrashingTarget.crashingOnPart(CRASHING, CrashResponse.TRUNCATED, crashes)));
        }
        configure();
        Address one = startGateway();
        Address other = startGateway();
        List<Boolean> refused;
        do {
            refused = List.of(isRefused(one), isRefused(other));
            assertThat(crashes.get()).isLessThanOrEqualTo(MAX_CRASHES);
        } while (refused.contains(false));
        int callsBefore = calls;
        awaitCondemnedPart();
        Address startedLater = startGateway();
        for (int call = 0; call < CALLS_AFTER_CONDEMNATION; call++) {
            assertThat(isRefused(one)).isTrue();
            assertThat(isRefused(other)).isTrue();
            assertThat(isRefused(startedLater)).isTrue();
        }
        // a request that was stopped on its way may reach its target later; none that was sent afterwards may
        assertThat(targets)
                .allSatisfy(target -> assertThat(target.bodies).noneMatch(body -> isLater(body, callsBefore)));
        assertThat(callWithParts(startedLater, "first,own", "sound")).isEqualTo(200);
    }

    /** Sends a request that is unlike all others but for its first two parts; returns true if it is condemned. */
    private boolean isRefused(Address gateway) throws IOException {
        calls++;
        return callWithParts(gateway, "first,bad,own" + calls, BODY + calls) == STATUS_CONDEMNED;
    }

    private static boolean isLater(String body, int callsBefore) {
        return body.startsWith(BODY) && Integer.parseInt(body.substring(BODY.length())) > callsBefore;
    }

    private void awaitCondemnedPart() throws IOException {
        while (!CONDEMNED_PART.matcher(operator("GET", "/suspects")).find()) {
            Thread.onSpinWait();
        }
    }
}

package org.bankturn.daemon.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.gateway.CrashingTarget;
import org.bankturn.daemon.gateway.ScriptedTarget;
import org.bankturn.daemon.settings.Address;
import org.junit.jupiter.api.Test;

/** Gateways must share the crashes that a request causes, so that it is not retried through each gateway in turn. */
class CrashingRequestAcrossGatewaysTest extends ServingFixture {
    private static final int TARGETS = 24;
    private static final int CALLS_AFTER_CONDEMNATION = 20;
    private static final int STALLING_TARGETS = 3;
    private static final int STATUS_CONDEMNED = 429;
    private static final String CRASHING = "deadly";
    private static final String POPULAR = "popular";

    /** Three crashes observed by each of the two gateways, and one further attempt in progress at each. */
    private static final int MAX_CRASHES = 8;

    /** Runs all calls concurrently, regardless of the number of processors. */
    private static final Executor THREAD_PER_CALL = call -> new Thread(call, "caller").start();

    private final AtomicInteger crashes = new AtomicInteger();

    @Test
    void three_crashes_at_different_gateways_condemn_a_request_at_all_gateways() throws Exception {
        for (int target = 0; target < TARGETS; target++) {
            announce(CrashingTarget.crashingOn(CRASHING, crashes));
        }
        configure();
        Address one = startGateway();
        Address other = startGateway();
        List<Integer> answers;
        do {
            answers = List.of(call(one, CRASHING), call(other, CRASHING));
            assertThat(crashes.get()).isLessThanOrEqualTo(MAX_CRASHES);
        } while (!answers.equals(List.of(STATUS_CONDEMNED, STATUS_CONDEMNED)));
        assertThat(crashes.get()).isBetween(3, MAX_CRASHES);
        int crashesBefore = crashes.get();
        // The gateways may have observed a crash that the control group has not yet committed.
        String unused = awaitCondemned();
        Address startedLater = startGateway();
        for (int call = 0; call < CALLS_AFTER_CONDEMNATION; call++) {
            assertThat(call(one, CRASHING)).isEqualTo(429);
            assertThat(call(other, CRASHING)).isEqualTo(429);
            assertThat(call(startedLater, CRASHING)).isEqualTo(429);
        }
        assertThat(crashes.get()).isEqualTo(crashesBefore);
        assertThat(call(startedLater, "sound")).isEqualTo(200);
    }

    /** Copies of a harmless request run on three targets that crash at the same time. */
    @Test
    void a_harmless_request_on_three_crashing_targets_is_refused_and_then_cleared_by_a_trial() throws Exception {
        List<ScriptedTarget> stalling = new ArrayList<>();
        for (int target = 0; target < STALLING_TARGETS; target++) {
            stalling.add(announce(stallingTarget()));
        }
        configure();
        Address gateway = startGateway();
        List<CompletableFuture<Integer>> inProgress = new ArrayList<>();
        for (int call = 0; call < 4 * STALLING_TARGETS; call++) {
            inProgress.add(CompletableFuture.supplyAsync(() -> callUnchecked(gateway), THREAD_PER_CALL));
        }
        for (ScriptedTarget target : stalling) {
            while (!target.bodies.contains(POPULAR)) {
                Thread.onSpinWait();
            }
        }
        for (ScriptedTarget target : stalling) {
            target.crash();
        }
        inProgress.forEach(CompletableFuture::join);
        assertThat(call(gateway, POPULAR)).isEqualTo(429);
        announce(CrashingTarget.crashingOn(CRASHING, crashes));
        while (call(gateway, POPULAR) != 200) {
            Thread.onSpinWait();
        }
        while (call(gateway, POPULAR) != 200) {
            Thread.onSpinWait();
        }
        assertThat(call(gateway, POPULAR)).isEqualTo(200);
    }

    @Test
    void operators_list_a_condemned_request_and_clear_it() throws Exception {
        for (int target = 0; target < TARGETS; target++) {
            announce(CrashingTarget.crashingOn(CRASHING, crashes));
        }
        configure();
        Address gateway = startGateway();
        while (call(gateway, CRASHING) != 429) {
            Thread.onSpinWait();
        }
        String fingerprint = awaitCondemned().replaceAll("(?s).*\"fingerprint\":\"(\\w+)\".*", "$1");
        assertThat(operator("DELETE", "/suspects/" + fingerprint)).startsWith("HTTP/1.1 200");
        while (call(gateway, CRASHING) != 502) {
            Thread.onSpinWait();
        }
        assertThat(operator("DELETE", "/suspects/12")).startsWith("HTTP/1.1 400");
    }

    /** Returns the operators' list of suspects once the control group has condemned a request, not null. */
    private String awaitCondemned() throws IOException {
        String listed = operator("GET", "/suspects");
        while (!listed.contains("\"sentToNoTarget\":true")) {
            listed = operator("GET", "/suspects");
        }
        return listed;
    }

    /** Returns a target that never answers the popular request and answers all others immediately. */
    private static ScriptedTarget stallingTarget() throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            if (self[0].bodies.get(number - 1).equals(POPULAR)) {
                awaitForever();
            }
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        });
        return self[0];
    }

    private static void awaitForever() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int callUnchecked(Address gateway) {
        try {
            return call(gateway, POPULAR);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

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

/**
 * A request that ends its targets and comes to one gateway after the other.
 *
 * <p>On a site with seven gateways 44 targets ended under one request within 8 s, while it came now to one gateway, now to
 * another: each sent it to two more targets ("failed ... attempts used up, sends 2"), and none told the others what it saw.
 */
class CrashingRequestAcrossGatewaysTest extends ServingFixture {
    private static final int TARGETS = 24;
    private static final int CALLS_AFTERWARDS = 20;
    private static final int HOLDERS = 3;
    private static final int STOPPED = 429;
    private static final String DEADLY = "deadly";
    private static final String POPULAR = "popular";

    /** What two gateways send before each knows of the third end: three each, and a further send under way at both. */
    private static final int ENDS_BEFORE_BOTH_KNOW = 8;

    /** All calls must be under way together, however few processors there are. */
    private static final Executor EACH_IN_ITS_OWN_THREAD = call -> new Thread(call, "caller").start();

    private final AtomicInteger ended = new AtomicInteger();

    @Test
    void three_ends_at_different_gateways_condemn_a_request_at_all_of_them() throws Exception {
        for (int target = 0; target < TARGETS; target++) {
            announce(CrashingTarget.crashingOn(DEADLY, ended));
        }
        configure();
        Address one = startGateway();
        Address other = startGateway();
        List<Integer> answers;
        do {
            answers = List.of(call(one, DEADLY), call(other, DEADLY));
            assertThat(ended.get()).isLessThanOrEqualTo(ENDS_BEFORE_BOTH_KNOW);
        } while (!answers.equals(List.of(STOPPED, STOPPED)));
        assertThat(ended.get()).isBetween(3, ENDS_BEFORE_BOTH_KNOW);
        int endedBefore = ended.get();
        // both gateways may know of an end that the control group has still to agree on
        String unused = awaitCondemned();
        Address startedLater = startGateway();
        for (int call = 0; call < CALLS_AFTERWARDS; call++) {
            assertThat(call(one, DEADLY)).isEqualTo(429);
            assertThat(call(other, DEADLY)).isEqualTo(429);
            assertThat(call(startedLater, DEADLY)).isEqualTo(429);
        }
        assertThat(ended.get()).isEqualTo(endedBefore);
        assertThat(call(startedLater, "sound")).isEqualTo(200);
    }

    /** Copies of a popular request were under way at three targets that lost their power together. */
    @Test
    void a_bystander_of_three_ends_at_the_same_moment_is_refused_and_then_cleared_by_a_trial() throws Exception {
        List<ScriptedTarget> holders = new ArrayList<>();
        for (int target = 0; target < HOLDERS; target++) {
            holders.add(announce(holder()));
        }
        configure();
        Address gateway = startGateway();
        List<CompletableFuture<Integer>> underWay = new ArrayList<>();
        for (int call = 0; call < 4 * HOLDERS; call++) {
            underWay.add(CompletableFuture.supplyAsync(() -> callUnchecked(gateway), EACH_IN_ITS_OWN_THREAD));
        }
        for (ScriptedTarget holder : holders) {
            while (!holder.bodies.contains(POPULAR)) {
                Thread.onSpinWait();
            }
        }
        for (ScriptedTarget holder : holders) {
            holder.crash();
        }
        underWay.forEach(CompletableFuture::join);
        assertThat(call(gateway, POPULAR)).isEqualTo(429);
        announce(CrashingTarget.crashingOn(DEADLY, ended));
        while (call(gateway, POPULAR) != 200) {
            Thread.onSpinWait();
        }
        while (call(gateway, POPULAR) != 200) {
            Thread.onSpinWait();
        }
        assertThat(call(gateway, POPULAR)).isEqualTo(200);
    }

    @Test
    void operators_see_a_condemned_request_and_have_it_run_again() throws Exception {
        for (int target = 0; target < TARGETS; target++) {
            announce(CrashingTarget.crashingOn(DEADLY, ended));
        }
        configure();
        Address gateway = startGateway();
        while (call(gateway, DEADLY) != 429) {
            Thread.onSpinWait();
        }
        String fingerprint = awaitCondemned().replaceAll("(?s).*\"fingerprint\":\"(\\w+)\".*", "$1");
        assertThat(operator("DELETE", "/suspects/" + fingerprint)).startsWith("HTTP/1.1 200");
        while (call(gateway, DEADLY) != 502) {
            Thread.onSpinWait();
        }
        assertThat(operator("DELETE", "/suspects/12")).startsWith("HTTP/1.1 400");
    }

    /** Returns what operators are shown once the control group has agreed that a request is sent to no target. */
    private String awaitCondemned() throws IOException {
        String listed = operator("GET", "/suspects");
        while (!listed.contains("\"sentToNoTarget\":true")) {
            listed = operator("GET", "/suspects");
        }
        return listed;
    }

    /** Returns a target that answers a popular request never and any other at once. */
    private static ScriptedTarget holder() throws IOException {
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

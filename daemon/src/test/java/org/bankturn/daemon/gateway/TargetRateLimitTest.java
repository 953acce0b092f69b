package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** All gateways together send a target no more than the rate that its answers name. */
@Timeout(60)
class TargetRateLimitTest {
    private static final long WINDOW_MILLIS = 4_000;
    private static final long UNTIL_IN_FORCE_MILLIS = 3_000;
    private static final double TOLERANCE = 1.5;
    private static final int ALLOWANCE = 5;
    private static final long ANSWER_MILLIS = 100;
    private static final int SELDOM_CALLS = 10;
    private static final long SELDOM_MILLIS = 900;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private GatewayGroup gateways;

    /** When requests arrived at a target that names a limit, and the limit that it names then, null for none. */
    private static final class Limited {
        private final Clock clock;
        private final List<Long> arrivals = new CopyOnWriteArrayList<>();
        private final AtomicReference<String> limit;

        Limited(Clock clock, String limit) {
            this.clock = clock;
            this.limit = new AtomicReference<>(limit);
        }

        ScriptedTarget start() throws IOException {
            return new ScriptedTarget((number, id, socket) -> {
                arrivals.add(clock.millis());
                String named = limit.get();
                if (named == null) {
                    // as slow as gateways expect of a target, or all requests would go to whichever they tried first
                    GatewayFixture.await(new CountDownLatch(1), ANSWER_MILLIS);
                }
                ScriptedTarget.write(
                        socket,
                        "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + (named == null ? "" : "Limit: " + named + "\r\n")
                                + "Content-Length: 2\r\n\r\nok");
                return true;
            });
        }

        /** Returns the most arrivals of any window from the moment on at which the limit is in force. */
        int mostInWindow() {
            long inForce = arrivals.get(0) + UNTIL_IN_FORCE_MILLIS;
            List<Long> counted =
                    arrivals.stream().filter(at -> at >= inForce).sorted().toList();
            int most = 0;
            for (int first = 0, next = 0; first < counted.size(); first++) {
                while (next < counted.size() && counted.get(next) < counted.get(first) + WINDOW_MILLIS) {
                    next++;
                }
                most = Math.max(most, next - first);
            }
            return most;
        }

        long countAfter(long millis) {
            return arrivals.stream().filter(at -> at > millis).count();
        }
    }

    @AfterEach
    void stop() throws IOException {
        for (ScriptedTarget target : targets) {
            target.close();
        }
        gateways.close();
        assertThat(gateways.thrown).isEmpty();
    }

    private ScriptedTarget keep(ScriptedTarget target) {
        targets.add(target);
        return target;
    }

    private static int allowed(double perSecond) {
        return (int) (TOLERANCE * perSecond * WINDOW_MILLIS / 1_000) + ALLOWANCE;
    }

    @Test
    void one_gateway_keeps_the_rate_that_a_target_takes() throws Exception {
        gateways = GatewayGroup.start("TargetRateLimitTest", 1);
        Limited limited = new Limited(gateways.clock, "1.5");
        gateways.publish(keep(limited.start()), keep(new Limited(gateways.clock, null).start()));
        gateways.callFor(8_000);
        assertThat(limited.mostInWindow()).isLessThanOrEqualTo(allowed(1.5));
    }

    @Test
    void seven_gateways_together_keep_the_rate_that_a_target_takes() throws Exception {
        gateways = GatewayGroup.start("TargetRateLimitTest", 7);
        Limited limited = new Limited(gateways.clock, "1");
        gateways.publish(keep(limited.start()), keep(new Limited(gateways.clock, null).start()));
        gateways.callFor(9_000);
        assertThat(limited.mostInWindow()).isLessThanOrEqualTo(allowed(1));
    }

    /** Each gateway learns of the end by its next permit, one of them by the target's answer. */
    @Test
    void a_target_whose_limit_has_ended_is_used_as_before_by_all() throws Exception {
        gateways = GatewayGroup.start("TargetRateLimitTest", 3);
        Limited limited = new Limited(gateways.clock, "1");
        gateways.publish(keep(limited.start()), keep(new Limited(gateways.clock, null).start()));
        gateways.callFor(1_000);
        limited.limit.set(null);
        long endedMillis = gateways.clock.millis();
        for (int span = 0; span < 30 && limited.countAfter(endedMillis) < 100; span++) {
            gateways.callFor(500);
        }
        assertThat(limited.countAfter(endedMillis)).isGreaterThanOrEqualTo(100);
    }

    /** A permit that comes once the request that wanted it was refused is over before the next request. */
    @Test
    void a_service_whose_only_target_takes_little_is_served_at_that_rate() throws Exception {
        gateways = GatewayGroup.start("TargetRateLimitTest", 2);
        Limited limited = new Limited(gateways.clock, "2");
        gateways.publish(keep(limited.start()));
        int answered = 0;
        for (int call = 0; call < SELDOM_CALLS; call++) {
            answered += gateways.call(0, "seldom-" + call).startsWith("HTTP/1.1 200") ? 1 : 0;
            GatewayFixture.await(new CountDownLatch(1), SELDOM_MILLIS);
        }
        assertThat(answered).isGreaterThanOrEqualTo(SELDOM_CALLS / 2);
    }
}

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

/** Tests that all gateways together respect the rate limit that a target announces. */
@Timeout(60)
class TargetRateLimitTest {
    private static final long WINDOW_MILLIS = 4_000;
    private static final long SETTLING_MILLIS = 3_000;
    private static final double TOLERANCE = 1.5;
    private static final int ALLOWANCE = 5;
    private static final long ANSWER_MILLIS = 100;
    private static final int SPACED_CALLS = 10;
    private static final long CALL_INTERVAL_MILLIS = 900;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private GatewayGroup gateways;

    /** Records the arrivals at a target and holds the rate limit that it announces, null for none. */
    private static final class RateLimitedTarget {
        private final Clock clock;
        private final List<Long> arrivals = new CopyOnWriteArrayList<>();
        private final AtomicReference<String> limit;

        RateLimitedTarget(Clock clock, String limit) {
            this.clock = clock;
            this.limit = new AtomicReference<>(limit);
        }

        ScriptedTarget start() throws IOException {
            return new ScriptedTarget((number, id, socket) -> {
                arrivals.add(clock.millis());
                String named = limit.get();
                if (named == null) {
                    // matches the expected latency; otherwise all requests would go to the target tried first
                    GatewayFixture.await(new CountDownLatch(1), ANSWER_MILLIS);
                }
                ScriptedTarget.write(
                        socket,
                        "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + (named == null ? "" : "Limit: " + named + "\r\n")
                                + "Content-Length: 2\r\n\r\nok");
                return true;
            });
        }

        /** Returns the maximum number of arrivals in any window after the settling time. */
        int maxArrivalsInWindow() {
            long inForce = arrivals.get(0) + SETTLING_MILLIS;
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

        long arrivalsAfter(long millis) {
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

    private ScriptedTarget register(ScriptedTarget target) {
        targets.add(target);
        return target;
    }

    private static int allowed(double perSecond) {
        return (int) (TOLERANCE * perSecond * WINDOW_MILLIS / 1_000) + ALLOWANCE;
    }

    @Test
    void one_gateway_respects_the_rate_limit_of_a_target() throws Exception {
        gateways = GatewayGroup.start("TargetRateLimitTest", 1);
        RateLimitedTarget limited = new RateLimitedTarget(gateways.clock, "1.5");
        gateways.publish(register(limited.start()), register(new RateLimitedTarget(gateways.clock, null).start()));
        gateways.callFor(8_000);
        assertThat(limited.maxArrivalsInWindow()).isLessThanOrEqualTo(allowed(1.5));
    }

    @Test
    void seven_gateways_together_respect_the_rate_limit_of_a_target() throws Exception {
        gateways = GatewayGroup.start("TargetRateLimitTest", 7);
        RateLimitedTarget limited = new RateLimitedTarget(gateways.clock, "1");
        gateways.publish(register(limited.start()), register(new RateLimitedTarget(gateways.clock, null).start()));
        gateways.callFor(9_000);
        assertThat(limited.maxArrivalsInWindow()).isLessThanOrEqualTo(allowed(1));
    }

    /** One gateway learns of the end from the target's response, the others from their next permit. */
    @Test
    void all_gateways_resume_sending_after_a_rate_limit_ends() throws Exception {
        gateways = GatewayGroup.start("TargetRateLimitTest", 3);
        RateLimitedTarget limited = new RateLimitedTarget(gateways.clock, "1");
        gateways.publish(register(limited.start()), register(new RateLimitedTarget(gateways.clock, null).start()));
        gateways.callFor(1_000);
        limited.limit.set(null);
        long endedMillis = gateways.clock.millis();
        for (int span = 0; span < 30 && limited.arrivalsAfter(endedMillis) < 100; span++) {
            gateways.callFor(500);
        }
        assertThat(limited.arrivalsAfter(endedMillis)).isGreaterThanOrEqualTo(100);
    }

    /** Guards against permits that are granted after their request was refused and expire unused. */
    @Test
    void a_service_with_a_single_rate_limited_target_is_served_at_that_rate() throws Exception {
        gateways = GatewayGroup.start("TargetRateLimitTest", 2);
        RateLimitedTarget limited = new RateLimitedTarget(gateways.clock, "2");
        gateways.publish(register(limited.start()));
        int answered = 0;
        for (int call = 0; call < SPACED_CALLS; call++) {
            answered += gateways.call(0, "seldom-" + call).startsWith("HTTP/1.1 200") ? 1 : 0;
            GatewayFixture.await(new CountDownLatch(1), CALL_INTERVAL_MILLIS);
        }
        assertThat(answered).isGreaterThanOrEqualTo(SPACED_CALLS / 2);
    }
}

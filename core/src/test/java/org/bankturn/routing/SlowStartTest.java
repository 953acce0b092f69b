package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.SlowStart;
import org.bankturn.service.WeightedService;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against a target that has just started failing because gateways send it their full share at once. */
class SlowStartTest {
    private static final SlowStart SLOW_START = new SlowStart(3_000, 18);
    private static final Service SERVICE = new Service("chat", "/", 100, null, null, null, null, SLOW_START);
    private static final Service UNLIMITED = new Service("chat", "/", 100, null, null, null, null);
    private static final SlowStartShare SHARE = SlowStartShare.of(SLOW_START);
    private static final String SELF = "10.0.0.1:80";
    private static final Route ROUTE = new Route(
            "r", "h", "/", RequestKind.IDEMPOTENT, 6_000, 600, 0, List.of(new WeightedService("chat", 1)), 2, true);

    private final ManualClock clock = ManualClock.startingAt(1_000_000);

    // ---- share of a gateway

    @Test
    void at_most_half_of_the_rate_and_at_least_one_gateway_is_chosen() {
        assertThat(SlowStartShare.of(new SlowStart(1, 18))).isEqualTo(new SlowStartShare(9, 500));
        assertThat(SlowStartShare.of(new SlowStart(1, 1))).isEqualTo(new SlowStartShare(1, 1_000));
        assertThat(SlowStartShare.of(new SlowStart(1, 0.001)).intervalMillis())
                .isEqualTo(SlowStartShare.MAX_INTERVAL_MILLIS);
    }

    @Test
    void any_rate_stays_within_the_tolerance() {
        for (double rate = 0.1; rate < 200; rate += 0.1) {
            SlowStartShare share = SlowStartShare.of(new SlowStart(1, rate));
            double inOneSecond = share.gateways() * Math.ceil(1_001.0 / share.intervalMillis());
            assertThat(inOneSecond).as("rate " + rate).isLessThanOrEqualTo(1.5 * rate + 5);
        }
    }

    // ---- choice of gateways

    @Test
    void the_chosen_gateways_of_equal_views_are_as_many_as_the_share_and_local_before_others() {
        Map<String, String> gateways = gateways(36);
        for (String target : List.of("t1", "t2", "t3")) {
            List<String> chosen = gateways.keySet().stream()
                    .filter(name ->
                            settledViews(name, gateways).untilPermittedMillis(target, "a", SHARE, clock.millis()) == 0)
                    .toList();
            assertThat(chosen).hasSize(9);
            assertThat(chosen).allMatch(name -> gateways.get(name).equals("a"));
        }
    }

    @Test
    void nothing_is_permitted_while_the_gateways_are_unknown_or_not_confirmed() {
        GatewayViews views = new GatewayViews();
        assertThat(untilPermitted(views)).isEqualTo(Long.MAX_VALUE);
        views.update(SELF, Map.of(SELF, "a"), clock.millis());
        assertThat(untilPermitted(views)).isEqualTo(Long.MAX_VALUE);
        views.confirmed(clock.millis(), clock.millis());
        clock.advance(SHARE.intervalMillis());
        assertThat(untilPermitted(views)).isZero();
        clock.advance(GatewayViews.VIEW_TTL_MILLIS);
        assertThat(untilPermitted(views)).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against a gateway that sends again at once because it forgot, in a restart, what it sent. */
    @Test
    void a_gateway_waits_an_interval_after_its_first_view() {
        GatewayViews views = new GatewayViews();
        views.update(SELF, Map.of(SELF, "a"), clock.millis());
        views.confirmed(clock.millis(), clock.millis());
        assertThat(untilPermitted(views)).isEqualTo(SHARE.intervalMillis());
        clock.advance(SHARE.intervalMillis() - 1);
        assertThat(untilPermitted(views)).isEqualTo(1);
    }

    /** Guards against two gateways that send in the same place because one has not heard of the other yet. */
    @Test
    void a_gateway_that_displaces_another_waits_until_the_view_of_that_one_has_expired() {
        Map<String, String> before = gateways(20);
        before.replaceAll((name, hall) -> "b");
        before.remove(SELF);
        GatewayViews views = settledViews(SELF, before);
        Map<String, String> after = new TreeMap<>(before);
        after.put(SELF, "a");
        views.update(SELF, after, clock.millis());
        assertThat(untilPermitted(views)).isEqualTo(GatewayViews.VIEW_TTL_MILLIS);
    }

    @Test
    void a_gateway_that_takes_a_free_place_waits_only_an_interval() {
        GatewayViews views = settledViews(SELF, Map.of("10.0.0.9:80", "a"));
        views.update(SELF, Map.of("10.0.0.9:80", "a", SELF, "a"), clock.millis());
        assertThat(untilPermitted(views)).isEqualTo(SHARE.intervalMillis());
    }

    @Test
    void a_gateway_that_was_cut_off_starts_as_after_a_restart() {
        GatewayViews views = settledViews(SELF, Map.of(SELF, "a"));
        clock.advance(60_000);
        views.confirmed(clock.millis(), clock.millis());
        assertThat(untilPermitted(views)).isEqualTo(SHARE.intervalMillis());
    }

    @Test
    void a_gateway_that_is_no_longer_published_sends_nothing() {
        GatewayViews views = settledViews(SELF, Map.of(SELF, "a"));
        views.update(SELF, Map.of("10.0.0.9:80", "a"), clock.millis());
        assertThat(untilPermitted(views)).isEqualTo(Long.MAX_VALUE);
    }

    private long untilPermitted(GatewayViews views) {
        return views.untilPermittedMillis("t", "a", SHARE, clock.millis());
    }

    private GatewayViews settledViews(String name, Map<String, String> gateways) {
        GatewayViews views = new GatewayViews();
        views.update(name, gateways, clock.millis() - 10_000);
        views.confirmed(clock.millis() - 10_000, clock.millis() - 10_000);
        views.confirmed(clock.millis() - 8_000, clock.millis());
        views.confirmed(clock.millis() - 6_000, clock.millis());
        views.confirmed(clock.millis() - 4_000, clock.millis());
        views.confirmed(clock.millis() - 2_000, clock.millis());
        views.confirmed(clock.millis(), clock.millis());
        return views;
    }

    private static Map<String, String> gateways(int count) {
        Map<String, String> gateways = new TreeMap<>();
        for (int number = 1; number <= count; number++) {
            gateways.put("10.0.0." + number + ":80", List.of("a", "b", "c").get(number % 3));
        }
        return gateways;
    }

    // ---- gateways

    /** A gateway as a policy; its state is lost when it restarts. */
    private final class Gateway {
        private final String name;
        private TargetTable table;
        private RequestPolicy policy;

        private Gateway(String name) {
            this.name = name;
        }

        private void start(Service service, Map<String, String> gateways, List<TargetSighting> targets) {
            long seed = name.hashCode();
            table = TargetTable.of(
                    clock,
                    gateways.get(name),
                    PlacementSettings.DEFAULT,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
            policy = RequestPolicy.of(
                    clock, table, new RetryLimits(0.2, 100, 10_000), RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1));
            policy.update(
                    ServingConfiguration.of(1, List.of(ROUTE), List.of(service), ClientLimits.DEFAULT, List.of()),
                    OptionalInt.of(gateways.size()));
            table.slowStarts().setServices(Map.of("chat", service));
            table.slowStarts().setGateways(name, gateways);
            publish(targets);
        }

        private void publish(List<TargetSighting> targets) {
            table.slowStarts().gatewaysConfirmed(clock.millis());
            table.update(targets);
        }

        private NextStep next() {
            RequestProgress request = RequestProgress.of(ROUTE, SERVICE, 0, clock.millis() + ROUTE.timeoutMillis());
            policy.requestArrived(request);
            return policy.next(request);
        }

        /** Returns the target that a request is sent to, empty if it is rejected or held back when it would be sent. */
        private Optional<TargetState> send() {
            if (next() instanceof NextStep.Send send) {
                TargetState target = send.candidate().target();
                return target.acquire(clock.millis()).isEmpty() ? Optional.of(target) : Optional.empty();
            }
            return Optional.empty();
        }
    }

    private Gateway settledGateway(Service service, TargetSighting... targets) {
        Gateway gateway = new Gateway(SELF);
        gateway.start(service, Map.of(SELF, "a"), List.of());
        clock.advance(1_000);
        gateway.publish(List.of(targets));
        return gateway;
    }

    /** Guards against a target that joins, seems idle to each gateway, and gets a request from all of them at once. */
    @Test
    void all_gateways_together_stay_within_the_tolerance_when_a_target_joins_and_gateways_restart() {
        Map<String, String> names = gateways(36);
        List<Gateway> gateways = names.keySet().stream().map(Gateway::new).toList();
        gateways.forEach(each -> each.start(SERVICE, names, List.of()));
        clock.advance(2_000);
        List<TargetSighting> targets = List.of(sighting("t", 1, 3_000));
        gateways.forEach(each -> each.publish(targets));
        List<Long> sent = new ArrayList<>();
        for (long step = 0; step < 3_000; step += 10) {
            for (int number = 0; number < gateways.size(); number++) {
                Gateway each = gateways.get(number);
                if (number % 3 == 0 && step % 700 == 10L * number) {
                    each.start(SERVICE, names, targets);
                }
                each.table.slowStarts().gatewaysConfirmed(clock.millis());
                each.send().ifPresent(target -> sent.add(clock.millis()));
            }
            clock.advance(10);
        }
        assertThat(sent.size()).isGreaterThan(27);
        for (long first : sent) {
            assertThat(sent.stream().filter(at -> at >= first && at <= first + 1_000))
                    .hasSizeLessThanOrEqualTo((int) (1.5 * 18 + 5));
        }
    }

    @Test
    void a_request_is_rejected_with_the_release_time_when_only_cold_targets_are_left() {
        Gateway gateway = settledGateway(SERVICE, sighting("t", 1, 3_000));
        assertThat(gateway.send()).isPresent();
        NextStep.GiveUp rejected = (NextStep.GiveUp) gateway.next();
        assertThat(rejected.reason()).isEqualTo("no target left but 1 cold");
        assertThat(rejected.retryAfterMillis()).isBetween(SHARE.intervalMillis(), 3_000L);
        assertThat(gateway.table.heldBackCounts()).containsEntry(HoldReason.COLD, 1);
        clock.advance(SHARE.intervalMillis());
        assertThat(gateway.send()).isPresent();
    }

    @Test
    void a_request_goes_to_a_warm_target_instead() {
        Gateway gateway = settledGateway(SERVICE, sighting("cold", 1, 3_000), sighting("warm", 1, 0));
        for (int number = 0; number < 20; number++) {
            gateway.send();
        }
        assertThat(gateway.send().orElseThrow().sighting().id()).isEqualTo("warm");
    }

    @Test
    void a_target_is_warm_after_its_cold_time_or_when_it_reports_so() {
        Gateway gateway = settledGateway(SERVICE, sighting("t", 1, 3_000));
        gateway.send();
        gateway.publish(List.of(sighting("t", 2, 0)));
        assertThat(gateway.send()).isPresent();
        gateway.publish(List.of(sighting("t", 3, 3_000)));
        assertThat(gateway.send()).isEmpty();
        clock.advance(3_000);
        assertThat(gateway.send()).isPresent();
        assertThat(gateway.send()).isPresent();
    }

    /** Guards against a burst in the interval after a target became cold again. */
    @Test
    void the_first_request_to_a_target_that_is_cold_again_is_spaced_from_those_before() {
        Gateway gateway = settledGateway(SERVICE, sighting("t", 1, 0));
        assertThat(gateway.send()).isPresent();
        gateway.publish(List.of(sighting("t", 2, 3_000)));
        assertThat(gateway.send()).isEmpty();
        clock.advance(SHARE.intervalMillis());
        assertThat(gateway.send()).isPresent();
    }

    /** Guards against a countdown that starts again with each publication. */
    @Test
    void an_unchanged_registration_does_not_extend_the_cold_time() {
        Gateway gateway = settledGateway(SERVICE, sighting("t", 1, 3_000));
        clock.advance(2_900);
        gateway.publish(List.of(sighting("t", 1, 3_000)));
        clock.advance(100);
        assertThat(gateway.send()).isPresent();
        assertThat(gateway.send()).isPresent();
    }

    @Test
    void a_target_that_is_listed_again_stays_cold() {
        Gateway gateway = settledGateway(SERVICE, sighting("t", 1, 3_000));
        gateway.send();
        gateway.publish(List.of());
        gateway.publish(List.of(sighting("t", 1, 3_000)));
        assertThat(gateway.send()).isEmpty();
    }

    @Test
    void targets_of_a_released_data_hall_are_treated_as_cold() {
        Gateway gateway = settledGateway(SERVICE, sighting("t", 1, 0));
        gateway.table.treatAsCold("another");
        assertThat(gateway.send()).isPresent();
        assertThat(gateway.send()).isPresent();
        gateway.table.treatAsCold("a");
        assertThat(gateway.send()).isEmpty();
        clock.advance(3_000);
        assertThat(gateway.send()).isPresent();
        assertThat(gateway.send()).isPresent();
    }

    @Test
    void a_target_that_responds_after_repeated_failures_is_treated_as_cold() {
        Gateway gateway = settledGateway(SERVICE, sighting("t", 1, 0));
        List<ColdCause> causes = new ArrayList<>();
        gateway.table.slowStarts().setListener((target, cause, forMillis) -> causes.add(cause));
        TargetState target = gateway.send().orElseThrow();
        target.requestFailed(clock.millis());
        target.responseReceived(10);
        assertThat(causes).isEmpty();
        target.requestFailed(clock.millis());
        target.requestFailed(clock.millis());
        clock.advance(2_000);
        target.responseReceived(10);
        assertThat(causes).containsExactly(ColdCause.RETURNED);
        gateway.publish(List.of(sighting("t", 1, 0)));
        assertThat(gateway.send()).isPresent();
        assertThat(gateway.send()).isEmpty();
    }

    @Test
    void targets_of_other_services_are_not_affected() {
        Gateway gateway = settledGateway(UNLIMITED, sighting("t", 1, 3_000));
        gateway.table.treatAsCold("a");
        for (int number = 0; number < 20; number++) {
            assertThat(gateway.send()).isPresent();
        }
        assertThat(gateway.table.heldBackCounts()).isEmpty();
    }

    /** Guards against a permit that is requested although it cannot be used. */
    @Test
    void no_permit_is_requested_for_a_target_that_is_held_back_as_cold() {
        Gateway gateway = settledGateway(SERVICE, sighting("t", 1, 3_000));
        TargetState target = gateway.send().orElseThrow();
        target.applyNotice(new TargetNotice(OptionalDouble.of(1), 0, false), true, clock.millis(), clock.millis());
        assertThat(gateway.next()).isInstanceOf(NextStep.GiveUp.class);
        assertThat(gateway.table.drainPermitRequests()).isEmpty();
        clock.advance(SHARE.intervalMillis());
        assertThat(gateway.next()).isInstanceOf(NextStep.AwaitPermit.class);
        assertThat(gateway.table.drainPermitRequests()).containsExactly(target);
    }

    private static TargetSighting sighting(String id, long sequence, long coldMillis) {
        return new TargetSighting(id, id, 0, "chat", id, "a", 8, false, -1, sequence, coldMillis);
    }
}

package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.EngineModel;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

/** Guards against exceeding the shared retry limit when gateways restart or leave the group. */
class RetriesAcrossRestartsTest {
    private static final EngineModel ENGINE = new EngineModel(8, 317_000, 13.9, 0.03, 0.05, 13.8, 2_048, 5, 70);
    private static final Service SERVICE = new Service("chat", "/", 100, ENGINE, null, null, null);
    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/",
            RequestKind.RESUMABLE_STREAM,
            6_000,
            600,
            0,
            List.of(new WeightedService("chat", 1)),
            2,
            true);
    private static final ServingConfiguration CONFIGURATION =
            ServingConfiguration.of(1, List.of(ROUTE), List.of(SERVICE), ClientLimits.DEFAULT, List.of());
    private static final List<TargetSighting> ENGINES = IntStream.range(0, 8)
            .mapToObj(each ->
                    new TargetSighting("engine-" + each, "chat", "10.0.0." + each + ":80", "here", 16, false, -1, 1))
            .toList();
    private static final int GATEWAYS = 7;
    private static final double SHARE = 0.2;
    private static final int ALLOWANCE = 102;
    private static final long WINDOW_MILLIS = 10_000;
    private static final long REQUEST_INTERVAL_MILLIS = 8;
    private static final long FAILURE_MILLIS = 504;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final List<Long> requests = new ArrayList<>();
    private final List<Long> retries = new ArrayList<>();

    /** A gateway process, whose view of the gateway count is set by the test. */
    private final class GatewayProcess {
        private final RequestPolicy policy;

        GatewayProcess(int gatewaysSeen) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
            TargetTable targets = TargetTable.of(clock, "here", PlacementSettings.DEFAULT, random);
            targets.update(ENGINES);
            targets.setWatched(ENGINES.stream().map(TargetSighting::id).collect(Collectors.toSet()));
            policy = RequestPolicy.of(clock, targets, new RetryLimits(SHARE, ALLOWANCE, WINDOW_MILLIS), random);
            setGatewayCount(gatewaysSeen);
        }

        void setGatewayCount(int gateways) {
            policy.update(CONFIGURATION, OptionalInt.of(gateways));
        }

        void serve(boolean rejected) {
            RequestProgress request = RequestProgress.of(ROUTE, SERVICE, 100, clock.millis() + 6_000);
            policy.requestArrived(request);
            requests.add(clock.millis());
            if (isSent(request) && rejected) {
                request.sent();
                request.notRun();
                if (isSent(request)) {
                    retries.add(clock.millis());
                }
            }
        }

        private boolean isSent(RequestProgress request) {
            NextStep step = policy.next(request);
            while (step instanceof NextStep.PollLoad) {
                step = policy.next(request);
            }
            return step instanceof NextStep.Send;
        }
    }

    @Test
    void restarted_gateways_do_not_spend_their_budget_twice() {
        List<GatewayProcess> gateways = starts(GATEWAYS);
        serve(gateways, 10_000, 0);
        serve(gateways, 4_000, 0.45);
        IntStream.range(1, GATEWAYS).forEach(each -> gateways.set(each, new GatewayProcess(GATEWAYS)));
        serve(gateways, 10_000, 0.45);
        assertAllowedInEveryWindow();
    }

    @Test
    void repeated_restarts_do_not_increase_the_budget() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
        List<GatewayProcess> gateways = starts(GATEWAYS);
        serve(gateways, 10_000, 0.1);
        for (int round = 0; round < 60; round++) {
            serve(gateways, 300 + random.nextInt(1_500), random.nextDouble());
            gateways.replaceAll(
                    each -> random.nextInt(3) == 0 ? new GatewayProcess(1 + random.nextInt(GATEWAYS)) : each);
        }
        assertAllowedInEveryWindow();
    }

    @Test
    void remaining_gateways_do_not_spend_the_budget_of_removed_ones() {
        List<GatewayProcess> gateways = starts(GATEWAYS);
        serve(gateways, 10_000, 0);
        serve(gateways, 3_000, 0.9);
        List<GatewayProcess> left = gateways.subList(0, 1);
        left.forEach(each -> each.setGatewayCount(1));
        serve(left, 10_000, 0.9);
        assertAllowedInEveryWindow();
    }

    @Test
    void partitioned_halls_stay_within_the_shared_budget() {
        List<GatewayProcess> gateways = starts(GATEWAYS);
        serve(gateways, 10_000, 0);
        gateways.subList(0, 3).forEach(each -> each.setGatewayCount(3));
        gateways.subList(3, GATEWAYS).forEach(each -> each.setGatewayCount(4));
        serve(gateways, 15_000, 0.6);
        assertAllowedInEveryWindow();
    }

    @Test
    void gateway_that_initially_sees_only_itself_does_not_spend_the_whole_budget() {
        List<GatewayProcess> gateways = IntStream.range(0, GATEWAYS)
                .mapToObj(each -> new GatewayProcess(1))
                .collect(Collectors.toCollection(ArrayList::new));
        serve(gateways, 400, 0.9);
        gateways.forEach(each -> each.setGatewayCount(GATEWAYS));
        serve(gateways, 15_000, 0.6);
        assertAllowedInEveryWindow();
    }

    @Test
    void failure_of_half_of_the_engines_is_retried() {
        List<GatewayProcess> gateways = starts(GATEWAYS);
        serve(gateways, 10_000, 0);
        serve(gateways, FAILURE_MILLIS, 0.5);
        long rejected = FAILURE_MILLIS / REQUEST_INTERVAL_MILLIS / 2;
        assertThat((long) retries.size()).isGreaterThanOrEqualTo(rejected * 8 / 10);
    }

    private List<GatewayProcess> starts(int count) {
        return IntStream.range(0, count)
                .mapToObj(each -> new GatewayProcess(GATEWAYS))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private void serve(List<GatewayProcess> gateways, long millis, double rejectedShare) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(millis);
        for (long passed = 0; passed < millis; passed += REQUEST_INTERVAL_MILLIS) {
            clock.advance(REQUEST_INTERVAL_MILLIS);
            gateways.get(random.nextInt(gateways.size())).serve(random.nextDouble() < rejectedShare);
        }
    }

    /** Allows the highest request count of the window, half a window earlier and one window earlier. */
    private void assertAllowedInEveryWindow() {
        assertThat(retries).isNotEmpty();
        for (long end : Set.copyOf(retries)) {
            int most = Math.max(
                    countInWindow(requests, end),
                    Math.max(
                            countInWindow(requests, end - WINDOW_MILLIS / 2),
                            countInWindow(requests, end - WINDOW_MILLIS)));
            assertThat((double) countInWindow(retries, end)).isLessThanOrEqualTo(SHARE * most + ALLOWANCE);
        }
    }

    private static int countInWindow(List<Long> times, long end) {
        return (int) times.stream()
                .filter(time -> time > end - WINDOW_MILLIS && time <= end)
                .count();
    }
}

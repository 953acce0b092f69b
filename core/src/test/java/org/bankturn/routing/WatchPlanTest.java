package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WatchPlanTest {
    private static final PlacementSettings SETTINGS = PlacementSettings.DEFAULT;

    @Test
    void few_engines_are_all_watched() {
        assertThat(plan(0).watched(engines("here", 5), gateways(3), 0)).hasSize(5);
    }

    /** 1128 engines and 53 gateways: about 21 engines per gateway. */
    @Test
    void each_engine_of_a_large_hall_is_watched_by_a_few_gateways() {
        List<WatchPlan.Engine> engines = engines("here", 1_128);
        Map<String, Integer> watchers = new HashMap<>();
        for (int gateway = 0; gateway < 53; gateway++) {
            plan(gateway).watched(engines, gateways(53), 0).forEach(id -> watchers.merge(id, 1, Integer::sum));
        }
        assertThat(watchers).hasSize(1_128);
        assertThat(watchers.values()).allMatch(count -> count >= 2 && count <= 5);
    }

    @Test
    void removed_gateway_changes_few_assignments() {
        List<WatchPlan.Engine> engines = engines("here", 29);
        Set<String> fewer = gateways(10);
        fewer.remove("gateway-3");
        Set<String> before = plan(7).watched(engines, gateways(10), 0);
        Set<String> kept = new HashSet<>(plan(7).watched(engines, fewer, 0));
        kept.retainAll(before);
        assertThat(kept).hasSizeGreaterThanOrEqualTo(before.size() / 2);
    }

    @Test
    void gateway_with_many_requests_in_flight_watches_more_engines() {
        List<WatchPlan.Engine> engines = engines("here", 29);
        assertThat(plan(0).watched(engines, gateways(10), 0)).hasSize(9);
        assertThat(plan(0).watched(engines, gateways(10), 70)).hasSize(18);
    }

    /** Guards against a busy gateway of an evacuated hall overloading the few engines that it watches elsewhere. */
    @Test
    void gateway_without_local_engines_watches_enough_remote_ones_for_its_own_requests() {
        List<WatchPlan.Engine> engines = engines("there", 40);
        assertThat(plan(0).watched(engines, gateways(10), 16)).hasSize(SETTINGS.minWatchedTotal());
        assertThat(plan(0).watched(engines, gateways(10), 100).size()).isEqualTo((int) Math.ceil(
                SETTINGS.watchedPerFilledEngine() * 100 / engines.get(0).slots()));
    }

    @Test
    void remote_engines_are_watched_by_different_gateways() {
        List<WatchPlan.Engine> engines = engines("there", 40);
        Set<String> all = new HashSet<>();
        for (int gateway = 0; gateway < 10; gateway++) {
            Set<String> watched = plan(gateway).watched(engines, gateways(10), 0);
            assertThat(watched).hasSize(SETTINGS.minWatchedTotal());
            all.addAll(watched);
        }
        assertThat(all).hasSizeGreaterThan(20);
    }

    /** Guards against a gateway missing free engines in a small deployment. */
    @Test
    void small_deployment_is_watched_entirely() {
        List<WatchPlan.Engine> engines = new ArrayList<>(engines("here", 5));
        for (int number = 5; number < 15; number++) {
            engines.add(new WatchPlan.Engine("engine-" + number, "there", 8));
        }
        assertThat(plan(0).watched(engines, gateways(2), 0)).hasSize(15);
    }

    @Test
    void unpublished_gateway_watches_engines() {
        assertThat(plan(99).watched(engines("here", 29), gateways(10), 0)).isNotEmpty();
    }

    private static WatchPlan plan(int gateway) {
        return WatchPlan.of(SETTINGS, "gateway-" + gateway, "here");
    }

    private static Set<String> gateways(int count) {
        Set<String> names = new HashSet<>();
        for (int number = 0; number < count; number++) {
            names.add("gateway-" + number);
        }
        return names;
    }

    private static List<WatchPlan.Engine> engines(String hall, int count) {
        List<WatchPlan.Engine> engines = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            engines.add(new WatchPlan.Engine("engine-" + number, hall, 8));
        }
        return engines;
    }
}

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
    void a_few_engines_are_all_watched() {
        assertThat(plan(0).watched(engines("here", 5), gateways(3), 0)).hasSize(5);
    }

    /** Sizes of letter 1: 21 engines a gateway. */
    @Test
    void every_engine_of_a_large_hall_is_watched_by_several_gateways_and_none_by_most() {
        List<WatchPlan.Engine> engines = engines("here", 1_128);
        Map<String, Integer> watchers = new HashMap<>();
        for (int gateway = 0; gateway < 53; gateway++) {
            plan(gateway).watched(engines, gateways(53), 0).forEach(id -> watchers.merge(id, 1, Integer::sum));
        }
        assertThat(watchers).hasSize(1_128);
        assertThat(watchers.values()).allMatch(count -> count >= 2 && count <= 5);
    }

    @Test
    void a_gateway_that_dies_moves_the_others_by_a_few_engines() {
        List<WatchPlan.Engine> engines = engines("here", 29);
        Set<String> fewer = gateways(10);
        fewer.remove("gateway-3");
        Set<String> before = plan(7).watched(engines, gateways(10), 0);
        Set<String> kept = new HashSet<>(plan(7).watched(engines, fewer, 0));
        kept.retainAll(before);
        assertThat(kept).hasSizeGreaterThanOrEqualTo(before.size() / 2);
    }

    @Test
    void a_gateway_with_many_requests_under_way_watches_more() {
        List<WatchPlan.Engine> engines = engines("here", 29);
        assertThat(plan(0).watched(engines, gateways(10), 0)).hasSize(9);
        assertThat(plan(0).watched(engines, gateways(10), 70)).hasSize(18);
    }

    @Test
    void some_engines_of_other_halls_are_watched_and_not_the_same_by_all() {
        List<WatchPlan.Engine> engines = engines("there", 40);
        Set<String> all = new HashSet<>();
        for (int gateway = 0; gateway < 10; gateway++) {
            Set<String> watched = plan(gateway).watched(engines, gateways(10), 0);
            assertThat(watched).hasSize(SETTINGS.minWatchedTotal());
            all.addAll(watched);
        }
        assertThat(all).hasSizeGreaterThan(20);
    }

    /** Three halls of five engines are one pool: a gateway that misses the free ones refuses what could be served. */
    @Test
    void a_small_deployment_is_watched_as_a_whole() {
        List<WatchPlan.Engine> engines = new ArrayList<>(engines("here", 5));
        for (int number = 5; number < 15; number++) {
            engines.add(new WatchPlan.Engine("engine-" + number, "there", 8));
        }
        assertThat(plan(0).watched(engines, gateways(2), 0)).hasSize(15);
    }

    @Test
    void a_gateway_that_is_not_published_yet_watches_as_one_more() {
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

package org.bankturn.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ServingConfigurationTest {
    private static final Service CHAT = new Service("chat", "/health", 10, null, null, null, null);
    private static final Service BOOKING = new Service("booking", "/health", 10, null, null, null, null);

    @Test
    void route_with_longest_matching_prefix_is_selected() {
        ServingConfiguration configuration = configuration(
                route("wide", "/a/", 100, weighted("chat", 1)), route("narrow", "/a/b/", 100, weighted("booking", 1)));
        assertThat(configuration.route("h", "/a/b/c").orElseThrow().name()).isEqualTo("narrow");
        assertThat(configuration.route("h", "/a/x").orElseThrow().name()).isEqualTo("wide");
        assertThat(configuration.route("other", "/a/x")).isEmpty();
        assertThat(configuration.route("h", "/a")).isEmpty();
    }

    @Test
    void each_inconsistency_is_reported() {
        assertThat(configuration(route("r", "/a/", 100, weighted("nobody", 1))).problems())
                .hasSize(1);
        assertThat(configuration(
                                route("r", "/a/", 100, weighted("chat", 1)),
                                route("s", "/a/", 100, weighted("chat", 1)))
                        .problems())
                .hasSize(1);
        assertThat(configuration(route("r", "/a/", 100, weighted("chat", 0))).problems())
                .hasSize(1);
        assertThat(configuration(route("r", "/a/", 0, weighted("chat", 1))).problems())
                .hasSize(1);
        assertThat(ServingConfiguration.of(
                                1,
                                List.of(),
                                List.of(),
                                ClientLimits.DEFAULT,
                                List.of(new Account("one", List.of("k"), 0), new Account("two", List.of("k"), 0)))
                        .problems())
                .hasSize(1);
    }

    @Test
    void consistent_configuration_has_no_problems() {
        assertThat(configuration(route("r", "/a/", 100, weighted("chat", 90), weighted("booking", 10)))
                        .problems())
                .isEmpty();
    }

    @Test
    void services_are_selected_by_weight() {
        Route route = route("r", "/a/", 100, weighted("chat", 3), weighted("booking", 1));
        long chats = java.util.stream.LongStream.range(0, 400)
                .filter(draw -> route.selectService(draw).equals("chat"))
                .count();
        assertThat(chats).isEqualTo(300);
        assertThat(route.selectService(-1)).isEqualTo("booking");
    }

    private static WeightedService weighted(String service, int weight) {
        return new WeightedService(service, weight);
    }

    @Test
    void requests_are_retryable_only_if_every_route_of_the_service_allows_it() {
        Route safe = route("safe", "/a/", 100, weighted("chat", 1));
        assertThat(configuration(safe).areAllRequestsRetryable("chat")).isTrue();
        for (RequestKind kind : List.of(RequestKind.UNSAFE, RequestKind.STREAM)) {
            Route once = new Route("once", "h", "/b/", kind, 100, 50, 0, List.of(weighted("chat", 1)), 2, false);
            assertThat(configuration(safe, once).areAllRequestsRetryable("chat"))
                    .isFalse();
        }
        Route single = new Route(
                "single", "h", "/b/", RequestKind.RESUMABLE_STREAM, 100, 50, 0, List.of(weighted("chat", 1)), 1, false);
        assertThat(configuration(safe, single).areAllRequestsRetryable("chat")).isFalse();
        assertThat(configuration(safe, single).areAllRequestsRetryable("booking"))
                .isTrue();
    }

    private static Route route(String name, String prefix, long timeoutMillis, WeightedService... services) {
        return new Route(name, "h", prefix, RequestKind.IDEMPOTENT, timeoutMillis, 50, 0, List.of(services), 2, false);
    }

    private static ServingConfiguration configuration(Route... routes) {
        return ServingConfiguration.of(1, List.of(routes), List.of(CHAT, BOOKING), ClientLimits.DEFAULT, List.of());
    }
}

package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Account;
import org.bankturn.service.AllowedRegions;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.EngineModel;
import org.bankturn.service.RegionMap;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that a request reaches only targets in the regions that its route and its account allow. The gateway is in data
 * hall "here" of region east; "there" is in region west, and the region of "attic" is unknown.
 */
class RegionsTest {
    private static final EngineModel ENGINE = new EngineModel(8, 317_000, 13.9, 0.03, 0.05, 13.8, 2_048, 5, 70);
    private static final Service SERVICE = new Service("chat", "/", 100, ENGINE, null, null, null);
    private static final RegionMap REGIONS = new RegionMap(Map.of("here", "east", "there", "west"));
    private static final AllowedRegions EAST = AllowedRegions.of(List.of("east"));
    private static final AllowedRegions WEST = AllowedRegions.of(List.of("west"));
    private static final AllowedRegions BOTH = AllowedRegions.of(List.of("east", "west"));
    private static final TargetNotice LIMIT_OF_ONE = new TargetNotice(OptionalDouble.of(1), 0, false);
    private static final int REPETITIONS = 50;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final TargetTable targets = TargetTable.of(
            clock, "here", REGIONS, PlacementSettings.DEFAULT, RandomSource.XO_RO_SHI_RO_128_PP.create(7));
    private final RequestPolicy policy = RequestPolicy.of(
            clock, targets, new RetryLimits(0.5, 96_000, 10_000), RandomSource.XO_RO_SHI_RO_128_PP.create(8));

    @BeforeEach
    void publishTargets() {
        configure(route(WEST), AllowedRegions.ANY);
        know(Set.of("near", "far"), sighting("near", "here"), sighting("far", "there"));
        // the retry budget accrues with time
        clock.advance(10_000);
    }

    /** Guards against the preference for the local data hall overriding the regions. */
    @Test
    void first_choice_is_in_an_allowed_region_even_if_a_local_target_is_idle() {
        full("far");
        idle("near");
        configure(route(BOTH), AllowedRegions.ANY);
        assertThat(sentTo(decide(request(route(BOTH))))).isEqualTo("near");
        configure(route(WEST), AllowedRegions.ANY);
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            NextStep step = decide(request(route(WEST)));
            assertThat(step).isInstanceOf(NextStep.GiveUp.class);
            assertThat(((NextStep.GiveUp) step).cause()).isEqualTo(FailureCause.LATE_START);
        }
        idle("far");
        assertThat(sentTo(decide(request(route(WEST))))).isEqualTo("far");
    }

    /** Guards against only one of the two restrictions being applied. */
    @Test
    void route_and_account_both_restrict_a_request() {
        configure(route(BOTH), WEST);
        assertThat(sentTo(decide(request(route(BOTH), account(WEST))))).isEqualTo("far");
        configure(route(WEST), BOTH);
        assertThat(sentTo(decide(request(route(WEST), account(BOTH))))).isEqualTo("far");
        configure(route(EAST), WEST);
        NextStep.GiveUp none = (NextStep.GiveUp) decide(request(route(EAST), account(WEST)));
        assertThat(none.cause()).isEqualTo(FailureCause.REGIONS);
        assertThat(none.reason()).isEqualTo("the route and the account allow no common region");
    }

    /** Guards against polls that delay a request for the sake of engines that it must not reach. */
    @Test
    void only_engines_in_allowed_regions_are_polled_before_placement() {
        RequestProgress toWest = request(route(WEST));
        assertThat(policy.next(toWest)).isEqualTo(new NextStep.PollLoad(List.of("far")));
        configure(route(EAST), AllowedRegions.ANY);
        RequestProgress toEast = request(route(EAST));
        assertThat(policy.next(toEast)).isEqualTo(new NextStep.PollLoad(List.of("near")));
        full("near");
        assertThat(policy.next(toEast)).isInstanceOf(NextStep.GiveUp.class);
    }

    /** Guards against the last resort, a target that is avoided, being chosen outside the regions. */
    @Test
    void avoided_target_outside_the_allowed_regions_is_not_chosen() {
        state("near").requestFailed(clock.millis());
        state("far").requestFailed(clock.millis());
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            assertThat(sentTo(decide(request(route(WEST))))).isEqualTo("far");
        }
        know(Set.of("near"), sighting("near", "here"));
        assertThat(cause(decide(request(route(WEST))))).isEqualTo(FailureCause.REGIONS);
    }

    /** Guards against the fallback to engines that this gateway does not watch ignoring the regions. */
    @Test
    void unwatched_target_outside_the_allowed_regions_is_not_chosen() {
        know(Set.of(), sighting("near", "here"), sighting("far", "there"));
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            assertThat(sentTo(decide(request(route(WEST))))).isEqualTo("far");
        }
        know(Set.of(), sighting("near", "here"));
        assertThat(cause(decide(request(route(WEST))))).isEqualTo(FailureCause.REGIONS);
    }

    /** Guards against a wait for a permit of a target that the request must not reach. */
    @Test
    void permit_of_a_target_outside_the_allowed_regions_is_neither_awaited_nor_requested() {
        know(Set.of("near"), sighting("near", "here"));
        TargetState near = limited("near");
        assertThat(near.needsPermit(clock.millis())).isTrue();
        RequestProgress request = request(route(WEST));
        assertThat(cause(decide(request))).isEqualTo(FailureCause.REGIONS);
        assertThat(targets.drainPermitRequests()).isEmpty();
        assertThat(policy.heldBackTargets(request).toString()).isEmpty();
        configure(route(EAST), AllowedRegions.ANY);
        assertThat(decide(request(route(EAST)))).isInstanceOf(NextStep.AwaitPermit.class);
        assertThat(targets.drainPermitRequests()).containsExactly(near);
    }

    /** Guards against a request that waits for a permit reaching its target after the regions were restricted. */
    @Test
    void request_that_waits_for_a_permit_is_placed_by_the_newest_configuration() {
        configure(route(EAST), AllowedRegions.ANY);
        limited("near");
        RequestProgress request = request(route(EAST));
        assertThat(decide(request)).isInstanceOf(NextStep.AwaitPermit.class);
        configure(route(WEST), AllowedRegions.ANY);
        assertThat(sentTo(decide(request))).isEqualTo("far");
    }

    /** Guards against decisions by the route or account as it was on arrival. */
    @Test
    void current_route_and_account_decide_and_those_at_arrival_only_if_they_were_removed() {
        RequestProgress polled = request(route(EAST), account(EAST));
        assertThat(policy.next(polled)).isInstanceOf(NextStep.PollLoad.class);
        configure(route(AllowedRegions.ANY), WEST);
        assertThat(sentTo(decide(polled))).isEqualTo("far");

        RequestProgress removed = request(route(WEST), account(WEST));
        policy.update(
                ServingConfiguration.of(3, List.of(), List.of(SERVICE), ClientLimits.DEFAULT, List.of()),
                OptionalInt.of(1));
        idle("near");
        assertThat(sentTo(decide(removed))).isEqualTo("far");
    }

    /** Guards against a target that was chosen before the change and is still being connected to. */
    @Test
    void chosen_target_is_disallowed_by_a_configuration_that_arrives_before_the_request_is_sent() {
        RequestProgress request = request(route(WEST));
        Candidate chosen = ((NextStep.Send) decide(request)).candidate();
        assertThat(policy.maySendTo(request, chosen.target())).isTrue();
        configure(route(EAST), AllowedRegions.ANY);
        assertThat(policy.maySendTo(request, chosen.target())).isFalse();
        request.targetHeldBack("far");
        assertThat(sentTo(decide(request))).isEqualTo("near");
    }

    /** Guards against a retry that leaves the regions because no target in them is left. */
    @Test
    void retry_stays_in_the_allowed_regions() {
        RequestProgress request = request(route(WEST));
        assertThat(sentTo(decide(request))).isEqualTo("far");
        request.sent();
        assertThat(policy.retryObstacle(request)).contains(FailureCause.REGIONS);
        assertThat(policy.retryAfterFailure(request)).isEmpty();
        request.notRun();
        NextStep.GiveUp rejected = (NextStep.GiveUp) decide(request);
        assertThat(rejected.cause()).isEqualTo(FailureCause.REGIONS);
        assertThat(rejected.retryAfterMillis()).isEqualTo(RetryAfter.ALL_TARGETS_TRIED_MILLIS);
        know(Set.of("near", "far", "other"), sighting("near", "here"), sighting("far", "there"), west("other"));
        assertThat(policy.retryObstacle(request)).isEmpty();
        assertThat(policy.retryAfterFailure(request).map(RegionsTest::sentTo)).contains("other");
    }

    /** Guards against a stream that is resumed in another region than the one it may be served in. */
    @Test
    void begun_stream_waits_for_a_target_in_the_allowed_regions_and_resumes_only_there() {
        RequestProgress stream = begunStream();
        for (int check = 0; check < REPETITIONS / 10; check++) {
            assertThat(decide(stream)).isInstanceOf(NextStep.AwaitTarget.class);
            clock.advance(50);
        }
        know(Set.of("near", "far", "other"), sighting("near", "here"), sighting("far", "there"), west("other"));
        assertThat(sentTo(decide(stream))).isEqualTo("other");
    }

    /** Guards against a stream that waits being resumed by the regions that held when it began. */
    @Test
    void waiting_begun_stream_resumes_by_the_newest_configuration() {
        RequestProgress stream = begunStream();
        assertThat(decide(stream)).isInstanceOf(NextStep.AwaitTarget.class);
        configure(route(EAST), AllowedRegions.ANY);
        assertThat(sentTo(decide(stream))).isEqualTo("near");
    }

    /** Guards against polls on behalf of a waiting stream of engines that it must not reach. */
    @Test
    void waiting_begun_stream_polls_only_changing_engines_in_the_allowed_regions() {
        RequestProgress stream = begunStream();
        know(Set.of("near", "far", "other"), sighting("near", "here"), sighting("far", "there"), west("other"));
        changing("near");
        changing("other");
        clock.advance(PlacementSettings.DEFAULT.maxFreshAgeMillis() + 1);
        assertThat(policy.next(stream)).isEqualTo(new NextStep.PollLoad(List.of("other")));
    }

    /** Guards against a request that is held although no target in its regions can serve it. */
    @Test
    void request_without_a_target_in_its_regions_is_rejected_at_once_with_the_reason_and_a_retry_time() {
        know(Set.of("near"), sighting("near", "here"));
        NextStep.GiveUp rejected = (NextStep.GiveUp) policy.next(request(route(WEST)));
        assertThat(rejected.cause()).isEqualTo(FailureCause.REGIONS);
        assertThat(rejected.reason()).isEqualTo("no target left in regions west");
        assertThat(rejected.retryAfterMillis()).isEqualTo(RetryAfter.NO_TARGET_MILLIS);
    }

    /** Guards against regions being blamed where no target in any region could serve the request. */
    @Test
    void regions_are_not_named_as_the_cause_if_there_is_no_target_in_any_region() {
        know(Set.of());
        assertThat(cause(decide(request(route(WEST))))).isEqualTo(FailureCause.NO_TARGET);
    }

    /** Guards against a data hall that is missing in the settings counting as any region. */
    @Test
    void target_in_a_data_hall_without_a_known_region_serves_only_unrestricted_requests() {
        know(Set.of("lost"), sighting("lost", "attic"));
        assertThat(cause(decide(request(route(BOTH))))).isEqualTo(FailureCause.REGIONS);
        configure(route(AllowedRegions.ANY), AllowedRegions.ANY);
        assertThat(sentTo(decide(request(route(AllowedRegions.ANY))))).isEqualTo("lost");
    }

    /** Guards against the regions of one unnamed route being applied to another one. */
    @Test
    void routes_of_the_same_name_are_told_apart_by_host_and_path() {
        Route toWest = route("", "/west/", WEST);
        Route toEast = route("", "/east/", EAST);
        policy.update(
                ServingConfiguration.of(2, List.of(toEast, toWest), List.of(SERVICE), ClientLimits.DEFAULT, List.of()),
                OptionalInt.of(1));
        assertThat(sentTo(decide(request(toWest)))).isEqualTo("far");
        assertThat(sentTo(decide(request(toEast)))).isEqualTo("near");
    }

    /** Guards against log lines that grow with the number of regions. */
    @Test
    void reason_of_a_rejection_names_a_bounded_number_of_regions() {
        List<String> names =
                IntStream.range(0, 100).mapToObj(number -> "region-" + number).toList();
        assertThat(RequestRegions.reason(AllowedRegions.of(names)))
                .hasSizeLessThan(150)
                .endsWith(" and others");
    }

    /** Guards against documents whose restricted requests could never be served. */
    @Test
    void region_that_no_data_hall_has_is_found_unless_the_settings_name_no_regions() {
        AllowedRegions north = AllowedRegions.of(List.of("east", "north"));
        assertThat(REGIONS.unknownRegion(configuration(route(BOTH), EAST))).isEmpty();
        assertThat(REGIONS.unknownRegion(configuration(route(north), EAST))).contains("north");
        assertThat(REGIONS.unknownRegion(configuration(route(BOTH), north))).contains("north");
        assertThat(RegionMap.NONE.unknownRegion(configuration(route(north), north)))
                .isEmpty();
    }

    // ---- fixture

    private void configure(Route route, AllowedRegions ofAccount) {
        policy.update(configuration(route, ofAccount), OptionalInt.of(1));
    }

    private static ServingConfiguration configuration(Route route, AllowedRegions ofAccount) {
        return ServingConfiguration.of(
                2, List.of(route), List.of(SERVICE), ClientLimits.DEFAULT, List.of(account(ofAccount)));
    }

    private static Route route(AllowedRegions regions) {
        return route("r", "/", regions);
    }

    private static Route route(String name, String pathPrefix, AllowedRegions regions) {
        return new Route(
                name,
                "h",
                pathPrefix,
                RequestKind.RESUMABLE_STREAM,
                6_000,
                600,
                0,
                List.of(new WeightedService("chat", 1)),
                2,
                true,
                regions,
                0);
    }

    private static Account account(AllowedRegions regions) {
        return new Account("acme", List.of("k"), -1, regions);
    }

    private RequestProgress request(Route route) {
        return request(route, null);
    }

    private RequestProgress request(Route route, Account account) {
        RequestProgress request = RequestProgress.of(route, account, SERVICE, 1_000, clock.millis() + 6_000);
        policy.requestArrived(request);
        return request;
    }

    /** Returns a stream restricted to west whose target there broke off after the first event. */
    private RequestProgress begunStream() {
        RequestProgress stream = request(route(WEST));
        assertThat(sentTo(decide(stream))).isEqualTo("far");
        stream.sent();
        stream.eventForwarded("1", clock.millis());
        return stream;
    }

    private void know(Set<String> watched, TargetSighting... sightings) {
        targets.update(List.of(sightings));
        targets.setWatched(watched);
    }

    private static TargetSighting west(String id) {
        return sighting(id, "there");
    }

    private static TargetSighting sighting(String id, String hall) {
        return new TargetSighting(id, "chat", id, hall, 8, false, 1, 1);
    }

    private void idle(String id) {
        targets.loadReported(id, EngineLoad.NONE, 0, 2);
    }

    private void full(String id) {
        targets.loadReported(id, new EngineLoad(8, 8, 0, 0, 1, false), 0, 2);
    }

    private void changing(String id) {
        targets.loadReported(id, new EngineLoad(4, 0, 0, 0, 1, true), 0, 2);
    }

    /** Returns the target after it limited its rate to one request per second and used that up. */
    private TargetState limited(String id) {
        TargetState state = state(id);
        state.applyNotice(LIMIT_OF_ONE, true, clock.millis(), clock.millis());
        return state;
    }

    /** Returns a known target whatever the regions. */
    private TargetState state(String id) {
        Set<String> others = targets.othersThan(Set.of(id));
        return targets.choose(new Requirements(SERVICE, -1, VersionDeadlines.none(), 1_000, 600, others))
                .orElseThrow()
                .target();
    }

    /** Decides the next step after all polls. */
    private NextStep decide(RequestProgress request) {
        NextStep step = policy.next(request);
        while (step instanceof NextStep.PollLoad) {
            step = policy.next(request);
        }
        return step;
    }

    private static FailureCause cause(NextStep step) {
        assertThat(step).isInstanceOf(NextStep.GiveUp.class);
        return ((NextStep.GiveUp) step).cause();
    }

    private static String sentTo(NextStep step) {
        assertThat(step).isInstanceOf(NextStep.Send.class);
        return ((NextStep.Send) step).candidate().target().sighting().id();
    }
}

package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests on any path to a target of an evacuated data hall. */
class EvacuatedTargetsTest {
    private static final EngineModel ENGINE = new EngineModel(8, 317_000, 13.9, 0.03, 0.05, 13.8, 2_048, 5, 70);
    private static final Service SERVICE = new Service("chat", "/", 100, ENGINE, null, null, null);
    private static final Service PLAIN = new Service("book", "/", 100, null, null, null, null);
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
    private static final TargetNotice LIMITED = new TargetNotice(OptionalDouble.of(1), 0, false);
    private static final EngineLoad FULL = new EngineLoad(8, 9, 0, 0, 1, false);

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final TargetTable table =
            TargetTable.of(clock, "here", PlacementSettings.DEFAULT, RandomSource.XO_RO_SHI_RO_128_PP.create(7));
    private final RequestPolicy policy = RequestPolicy.of(
            clock, table, new RetryLimits(0.2, 100, 10_000), RandomSource.XO_RO_SHI_RO_128_PP.create(8));
    private final List<TargetSighting> sightings = new ArrayList<>();

    @BeforeEach
    void publish() {
        policy.update(
                ServingConfiguration.of(1, List.of(ROUTE), List.of(SERVICE, PLAIN), ClientLimits.DEFAULT, List.of()),
                OptionalInt.of(1));
        add("near", "chat", "here");
        add("far", "chat", "there");
    }

    @Test
    void the_local_hall_is_left_although_its_engines_are_idle() {
        table.loadReported("near", EngineLoad.NONE, 0, 2);
        table.loadReported("far", FULL, 0, 2);
        table.setEvacuatedHalls(Set.of("here"));
        assertThat(chosen(SERVICE)).isEqualTo("far");
        table.setEvacuatedHalls(Set.of());
        assertThat(chosen(SERVICE)).isEqualTo("near");
    }

    @Test
    void engines_of_an_evacuated_hall_are_not_polled_before_placement() {
        table.setEvacuatedHalls(Set.of("here"));
        assertThat(table.targetsToPoll(requirements(SERVICE), false)).isEmpty();
        assertThat(table.targetsToPoll(requirements(SERVICE), true)).containsExactly("far");
    }

    @Test
    void an_avoided_target_elsewhere_is_preferred_to_any_in_an_evacuated_hall() {
        table.setEvacuatedHalls(Set.of("here"));
        table.choose(requirements(SERVICE)).orElseThrow().target().requestFailed(clock.millis());
        assertThat(chosen(SERVICE)).isEqualTo("far");
    }

    @Test
    void unwatched_engines_of_an_evacuated_hall_are_no_last_resort() {
        table.setWatched(Set.of("far"));
        table.setEvacuatedHalls(Set.of("there"));
        assertThat(chosen(SERVICE)).isEqualTo("near");
        table.setEvacuatedHalls(Set.of("here", "there"));
        assertThat(table.choose(requirements(SERVICE))).isEmpty();
    }

    @Test
    void plain_services_are_evacuated_too() {
        add("desk", "book", "here");
        table.setEvacuatedHalls(Set.of("here"));
        assertThat(table.choose(requirements(PLAIN))).isEmpty();
    }

    @Test
    void no_permit_is_requested_for_a_target_of_an_evacuated_hall() {
        Candidate near = table.choose(requirements(SERVICE)).orElseThrow();
        near.target().applyNotice(LIMITED, true, clock.millis(), clock.millis());
        table.setEvacuatedHalls(Set.of("here", "there"));
        assertThat(table.choose(requirements(SERVICE))).isEmpty();
        assertThat(table.drainPermitRequests()).isEmpty();
        assertThat(table.targetWithPermitWithin(1_000, requirements(SERVICE))).isEmpty();
    }

    /** Guards against a request being sent whose connection was opened before the evacuation. */
    @Test
    void a_target_chosen_before_the_evacuation_does_not_get_the_request_after_it() {
        Candidate near = table.choose(requirements(SERVICE)).orElseThrow();
        table.setEvacuatedHalls(Set.of("here", "there"));
        assertThat(near.target().acquire(clock.millis())).contains(HoldReason.EVACUATED);
    }

    /** Guards against a target that starts in an evacuated hall, or moves there, getting requests. */
    @Test
    void a_target_that_appears_in_an_evacuated_hall_gets_no_requests() {
        table.setEvacuatedHalls(Set.of("here", "there"));
        add("new", "chat", "here");
        assertThat(table.choose(requirements(SERVICE))).isEmpty();
    }

    @Test
    void a_request_whose_only_targets_are_evacuated_is_rejected_at_once_with_the_reason_and_a_retry_time() {
        table.setEvacuatedHalls(Set.of("here", "there"));
        RequestProgress request = request();
        policy.requestArrived(request);
        NextStep.GiveUp rejection = (NextStep.GiveUp) policy.next(request);
        assertThat(rejection.reason()).isEqualTo("no target left but 2 evacuated");
        assertThat(rejection.retryAfterMillis()).isEqualTo(RetryAfter.NO_TARGET_MILLIS);
        assertThat(table.heldBackCounts()).containsEntry(HoldReason.EVACUATED, 2);
    }

    /** Guards against a stream that waits for a target being resumed in the evacuated hall. */
    @Test
    void a_begun_stream_is_not_resumed_in_an_evacuated_hall() {
        for (int number = 0; number < 100; number++) {
            policy.requestArrived(request()); // earns the retry that the resumption costs
        }
        RequestProgress request = request();
        NextStep.Send first = (NextStep.Send) afterPolls(request);
        request.sent();
        request.eventForwarded("1", clock.millis());
        String other = first.candidate().target().sighting().id().equals("near") ? "there" : "here";
        table.setEvacuatedHalls(Set.of(other));
        assertThat(afterPolls(request)).isInstanceOf(NextStep.AwaitTarget.class);
        assertThat(policy.canRetryElsewhere(request)).isFalse();
        table.setEvacuatedHalls(Set.of());
        assertThat(afterPolls(request)).isInstanceOf(NextStep.Send.class);
    }

    private NextStep afterPolls(RequestProgress request) {
        NextStep step = policy.next(request);
        while (step instanceof NextStep.PollLoad) {
            step = policy.next(request);
        }
        return step;
    }

    private void add(String id, String service, String hall) {
        sightings.add(new TargetSighting(id, service, id + ":80", hall, 8, false, 0, 1));
        table.update(sightings);
        table.setWatched(sightings.stream().map(TargetSighting::id).collect(Collectors.toSet()));
    }

    private String chosen(Service service) {
        return table.choose(requirements(service))
                .orElseThrow()
                .target()
                .sighting()
                .id();
    }

    private static Requirements requirements(Service service) {
        return new Requirements(service, -1, VersionDeadlines.none(), 100, 600, Set.of());
    }

    private RequestProgress request() {
        return RequestProgress.of(ROUTE, SERVICE, 100, clock.millis() + 6_000);
    }
}

package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
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

class RequestPolicyTest {
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
    private static final int GATEWAYS = 10;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final TargetTable targets =
            TargetTable.of(clock, "here", PlacementSettings.DEFAULT, RandomSource.XO_RO_SHI_RO_128_PP.create(7));
    private final RequestPolicy policy = RequestPolicy.of(
            clock, targets, new RetryLimits(0.2, 100, 10_000), RandomSource.XO_RO_SHI_RO_128_PP.create(8));

    @BeforeEach
    void publish() {
        policy.update(
                ServingConfiguration.of(1, List.of(ROUTE), List.of(SERVICE), ClientLimits.DEFAULT, List.of()),
                OptionalInt.of(GATEWAYS));
        targets.update(List.of(sighting("one", "here"), sighting("two", "there")));
        targets.setWatched(Set.of("one", "two"));
    }

    @Test
    void engines_are_asked_once_and_then_the_request_is_placed() {
        RequestProgress request = request();
        assertThat(policy.next(request)).isEqualTo(new NextStep.PollLoad(List.of("one")));
        targets.loadReported("one", EngineLoad.NONE, 0, 2);
        assertThat(policy.next(request)).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void a_request_whose_questions_are_not_answered_is_placed_all_the_same() {
        RequestProgress request = request();
        NextStep step = policy.next(request);
        while (step instanceof NextStep.PollLoad) {
            step = policy.next(request);
        }
        assertThat(step).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void a_request_that_every_engine_would_begin_too_late_is_refused_at_once_with_when_to_come_back() {
        full("one");
        full("two");
        NextStep step = policy.next(request());
        assertThat(step).isInstanceOf(NextStep.GiveUp.class);
        assertThat(((NextStep.GiveUp) step).retryAfterMillis()).isBetween(300L, 5_000L);
    }

    @Test
    void before_another_hall_is_used_its_engines_are_asked() {
        full("one");
        RequestProgress request = request();
        assertThat(policy.next(request)).isEqualTo(new NextStep.PollLoad(List.of("two")));
        targets.loadReported("two", EngineLoad.NONE, 0, 4);
        assertThat(policy.next(request)).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void a_request_without_another_target_waits_for_the_permit_that_it_asks_for() {
        TargetState one = limitedOnlyTarget();
        NextStep.AwaitPermit wait = (NextStep.AwaitPermit) decide(request());
        assertThat(wait.timeoutMillis()).isEqualTo(ROUTE.objectiveMillis() / 8);
        assertThat(targets.drainPermitRequests()).containsExactly(one);
        answerPermit(one, true, 0);
        assertThat(decide(request())).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void a_request_without_another_target_is_refused_once_there_is_no_permit_soon() {
        TargetState one = limitedOnlyTarget();
        RequestProgress request = request();
        assertThat(decide(request)).isInstanceOf(NextStep.AwaitPermit.class);
        answerPermit(one, false, 700);
        NextStep.GiveUp refused = (NextStep.GiveUp) decide(request);
        assertThat(refused.reason()).isEqualTo("no target left but 1 rate_limited");
        assertThat(refused.retryAfterMillis()).isBetween(700L, 3_000L);
    }

    @Test
    void a_request_waits_for_permits_no_longer_than_its_bound_in_all() {
        TargetState one = limitedOnlyTarget();
        RequestProgress request = request();
        assertThat(decide(request)).isInstanceOf(NextStep.AwaitPermit.class);
        one.permitRequested();
        clock.advance(ROUTE.objectiveMillis() / 8);
        assertThat(decide(request)).isInstanceOf(NextStep.GiveUp.class);
    }

    private TargetState limitedOnlyTarget() {
        targets.update(List.of(sighting("one", "here")));
        targets.setWatched(Set.of("one"));
        NextStep.Send send = (NextStep.Send) decide(request());
        TargetState one = send.candidate().target();
        one.applyNotice(new TargetNotice(OptionalDouble.of(1), 0, false), true, clock.millis(), clock.millis());
        return one;
    }

    private void answerPermit(TargetState target, boolean granted, long inMillis) {
        target.permitRequested();
        target.permitAnswered(
                new PermitCoordinator.Answer(target.rateLimit(), granted, inMillis), clock.millis(), clock.millis());
    }

    /** Callers that had been refused took the places of first tries, which then came back late as well. */
    @Test
    void while_first_tries_are_refused_for_long_a_caller_that_comes_back_gets_no_place_that_one_of_them_might_want() {
        halfFull("one");
        decide(request());
        assertThat(decide(callerRetry())).isInstanceOf(NextStep.Send.class);
        full("one");
        full("two");
        assertThat(decide(request())).isInstanceOf(NextStep.GiveUp.class);
        assertThat(decide(request())).isInstanceOf(NextStep.GiveUp.class);
        halfFull("one");
        assertThat(decide(callerRetry())).isInstanceOf(NextStep.Send.class);
        for (int refused = 0; refused < 10; refused++) {
            clock.advance(350);
            full("one");
            full("two");
            assertThat(decide(request())).isInstanceOf(NextStep.GiveUp.class);
        }
        halfFull("one");
        assertThat(decide(callerRetry())).isInstanceOf(NextStep.GiveUp.class);
        assertThat(decide(request())).isInstanceOf(NextStep.Send.class);
        for (int sent = 0; sent < 40; sent++) {
            halfFull("one");
            decide(request());
        }
        halfFull("one");
        assertThat(decide(callerRetry())).isInstanceOf(NextStep.Send.class);
    }

    private NextStep decide(RequestProgress request) {
        NextStep step = policy.next(request);
        while (step instanceof NextStep.PollLoad) {
            step = policy.next(request);
        }
        return step;
    }

    private RequestProgress callerRetry() {
        RequestProgress request = RequestProgress.of(ROUTE, SERVICE, 1_000, clock.millis() + 5_000);
        policy.arrived(request);
        return request;
    }

    @Test
    void a_gateway_that_does_not_know_how_many_there_are_has_no_part_of_what_they_share() {
        RequestPolicy unknowing = RequestPolicy.of(
                clock, targets, new RetryLimits(0.2, 100, 10_000), RandomSource.XO_RO_SHI_RO_128_PP.create(8));
        ServingConfiguration configuration =
                ServingConfiguration.of(1, List.of(ROUTE), List.of(SERVICE), ClientLimits.DEFAULT, List.of());
        unknowing.update(configuration, OptionalInt.empty());
        clock.advance(10_000);
        assertThat(retriesAfterFailure(unknowing)).isFalse();
        unknowing.update(configuration, OptionalInt.of(GATEWAYS));
        assertThat(retriesAfterFailure(unknowing)).isFalse();
        clock.advance(10_000);
        assertThat(retriesAfterFailure(unknowing)).isTrue();
    }

    /** Targets are published before the first configuration is; a gateway that failed at that served nothing from then on. */
    @Test
    void a_gateway_may_hear_of_others_before_there_is_a_configuration() {
        RequestPolicy early = RequestPolicy.of(
                clock, targets, new RetryLimits(0.2, 100, 10_000), RandomSource.XO_RO_SHI_RO_128_PP.create(8));
        early.update(null, OptionalInt.of(GATEWAYS));
        early.update(
                ServingConfiguration.of(1, List.of(ROUTE), List.of(SERVICE), ClientLimits.DEFAULT, List.of()),
                OptionalInt.of(GATEWAYS));
        clock.advance(10_000);
        assertThat(retriesAfterFailure(early)).isTrue();
    }

    private boolean retriesAfterFailure(RequestPolicy asked) {
        RequestProgress request = request();
        while (asked.next(request) instanceof NextStep.PollLoad) {
            clock.advance(1);
        }
        request.sent();
        request.outcomeUnknown();
        return asked.retryAfterFailure(request).isPresent();
    }

    @Test
    void a_request_may_be_refused_as_not_run_only_if_no_target_may_have_run_it() {
        RequestProgress request = request();
        assertThat(request.mayHaveRun()).isFalse();
        request.sent();
        assertThat(request.mayHaveRun()).isTrue();
        request.notRun();
        assertThat(request.mayHaveRun()).isFalse();
        request.sent();
        request.outcomeUnknown();
        request.sent();
        request.notRun();
        assertThat(request.mayHaveRun()).isTrue();
    }

    @Test
    void a_target_that_answers_others_is_given_longer() {
        long alone = SilenceTimeout.beforeFirstEventMillis(600, 200, false);
        assertThat(SilenceTimeout.beforeFirstEventMillis(600, 200, true)).isGreaterThan(alone);
        assertThat(SilenceTimeout.beforeFirstEventMillis(600, 2_000, false)).isEqualTo(4_000);
        assertThat(SilenceTimeout.betweenEventsMillis(true)).isGreaterThan(SilenceTimeout.betweenEventsMillis(false));
    }

    private void halfFull(String id) {
        targets.loadReported(id, new EngineLoad(4, 0, 0, 0, 1, false), 0, 2);
    }

    private void full(String id) {
        targets.loadReported(id, new EngineLoad(8, 8, 0, 0, 1, false), 0, 2);
    }

    private RequestProgress request() {
        RequestProgress request = RequestProgress.of(ROUTE, SERVICE, 1_000, clock.millis() + 6_000);
        policy.arrived(request);
        return request;
    }

    private static TargetSighting sighting(String id, String hall) {
        return new TargetSighting(id, "chat", id, hall, 8, false, 1, 1);
    }
}

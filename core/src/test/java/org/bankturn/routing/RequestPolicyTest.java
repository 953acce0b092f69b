package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Account;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.EngineModel;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.bankturn.service.WeightsLayout;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestPolicyTest {
    private static final EngineModel ENGINE = new EngineModel(8, 317_000, 13.9, 0.03, 0.05, 13.8, 2_048, 5, 70);
    private static final Service SERVICE = new Service("chat", "/", 100, ENGINE, null, null, null);
    private static final WeightsLayout WEIGHTS = new WeightsLayout("m", 1, 1, 1);
    private static final Service WITH_WEIGHTS = new Service("chat", "/", 100, ENGINE, WEIGHTS, null, null);
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
    private static final Route PATIENT_ROUTE = new Route(
            "p",
            "h",
            "/p/",
            RequestKind.RESUMABLE_STREAM,
            6_000,
            1_200,
            2,
            List.of(new WeightedService("chat", 1)),
            2,
            true);
    private static final EngineLoad HALF_FULL = new EngineLoad(4, 0, 0, 0, 1, false);
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
    void engines_are_polled_once_before_placement() {
        RequestProgress request = request();
        assertThat(policy.next(request)).isEqualTo(new NextStep.PollLoad(List.of("one")));
        targets.loadReported("one", EngineLoad.NONE, 0, 2);
        assertThat(policy.next(request)).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void request_is_placed_even_if_polls_are_unanswered() {
        RequestProgress request = request();
        NextStep step = policy.next(request);
        while (step instanceof NextStep.PollLoad) {
            step = policy.next(request);
        }
        assertThat(step).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void request_that_would_start_too_late_is_rejected_with_a_retry_delay() {
        full("one");
        full("two");
        NextStep step = policy.next(request());
        assertThat(step).isInstanceOf(NextStep.GiveUp.class);
        assertThat(((NextStep.GiveUp) step).retryAfterMillis()).isBetween(300L, 5_000L);
    }

    @Test
    void remote_engines_are_polled_before_use() {
        full("one");
        RequestProgress request = request();
        assertThat(policy.next(request)).isEqualTo(new NextStep.PollLoad(List.of("two")));
        targets.loadReported("two", EngineLoad.NONE, 0, 4);
        assertThat(policy.next(request)).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void request_without_alternatives_waits_for_its_permit() {
        TargetState one = limitedOnlyTarget();
        NextStep.AwaitPermit wait = (NextStep.AwaitPermit) decide(request());
        assertThat(wait.timeoutMillis()).isEqualTo(ROUTE.objectiveMillis() / 8);
        assertThat(targets.drainPermitRequests()).containsExactly(one);
        answerPermit(one, true, 0);
        assertThat(decide(request())).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void request_without_alternatives_is_rejected_if_no_permit_is_available_soon() {
        TargetState one = limitedOnlyTarget();
        RequestProgress request = request();
        assertThat(decide(request)).isInstanceOf(NextStep.AwaitPermit.class);
        answerPermit(one, false, 700);
        NextStep.GiveUp refused = (NextStep.GiveUp) decide(request);
        assertThat(refused.reason()).isEqualTo("no target left but 1 rate_limited");
        assertThat(refused.retryAfterMillis()).isBetween(700L, 3_000L);
    }

    @Test
    void total_permit_wait_is_bounded() {
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

    /** Guards against caller retries displacing first attempts during sustained overload. */
    @Test
    void first_attempts_have_priority_over_caller_retries_during_a_lasting_shortage() {
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

    @Test
    void largest_requests_are_not_rejected_every_time_while_smaller_ones_are_served() {
        int sent = 0;
        for (int round = 0; round < 20; round++) {
            for (int small = 0; small < 4; small++) {
                halfFull("one");
                assertThat(decide(request())).isInstanceOf(NextStep.Send.class);
            }
            halfFull("one");
            sent += decide(request(9_000)) instanceof NextStep.Send ? 1 : 0;
        }
        assertThat(sent).isGreaterThanOrEqualTo(10);
    }

    /** Guards against a long objective that gives a less urgent request the capacity of a more urgent one. */
    @Test
    void less_urgent_request_with_a_longer_objective_is_rejected_first() {
        publishUrgentAndPatientRoutes();
        busyForBoth();
        NextStep step = decide(request(PATIENT_ROUTE, null));
        assertThat(step).isInstanceOfSatisfying(NextStep.GiveUp.class, giveUp -> {
            assertThat(giveUp.cause()).isEqualTo(FailureCause.LESS_URGENT);
            assertThat(giveUp.reason()).contains("priority 2");
            assertThat(giveUp.retryAfterMillis()).isPositive();
        });
        busyForBoth();
        assertThat(decide(request(ROUTE, null))).isInstanceOf(NextStep.Send.class);
    }

    /** Guards against an admission that ranks a request by its route although its account has a priority. */
    @Test
    void priority_of_the_account_decides_over_that_of_the_route() {
        publishUrgentAndPatientRoutes();
        busyForBoth();
        assertThat(decide(request(PATIENT_ROUTE, new Account("a", List.of(), 0))))
                .isInstanceOf(NextStep.Send.class);
        busyForBoth();
        assertThat(decide(request(ROUTE, new Account("b", List.of(), 9)))).isInstanceOf(NextStep.GiveUp.class);
        busyForBoth();
        assertThat(decide(request(ROUTE, new Account("c", List.of(), -1)))).isInstanceOf(NextStep.Send.class);
    }

    /** Guards against more urgent requests that are rejected because less urgent ones waited long at engines. */
    @Test
    void delays_of_less_urgent_requests_do_not_count_for_more_urgent_ones() {
        publishUrgentAndPatientRoutes();
        for (int late = 0; late < 50; late++) {
            policy.correction(request(PATIENT_ROUTE, null)).observed(100, 1_000);
        }
        halfFull("one");
        assertThat(decide(request(PATIENT_ROUTE, null))).isInstanceOf(NextStep.GiveUp.class);
        halfFull("one");
        assertThat(decide(request(ROUTE, null))).isInstanceOf(NextStep.Send.class);
    }

    /** Guards against a surge of one account that is rejected no sooner than the others' requests. */
    @Test
    void account_above_its_share_is_rejected_first() {
        publishUrgentAndPatientRoutes();
        Account large = new Account("large", List.of(), -1);
        Account small = new Account("small", List.of(), -1);
        admitManyOf(large, small);
        rejectOneOf(small);
        busyForBoth();
        assertThat(decide(request(ROUTE, large)))
                .isInstanceOfSatisfying(
                        NextStep.GiveUp.class,
                        giveUp -> assertThat(giveUp.cause()).isEqualTo(FailureCause.ACCOUNT_SHARE));
        busyForBoth();
        assertThat(decide(request(ROUTE, small))).isInstanceOf(NextStep.Send.class);
    }

    /** Guards against slots that stay idle for the sake of a share while nothing else needs them. */
    @Test
    void account_above_its_share_is_admitted_while_capacity_is_not_short() {
        publishUrgentAndPatientRoutes();
        Account large = new Account("large", List.of(), -1);
        admitManyOf(large, new Account("small", List.of(), -1));
        busyForBoth();
        assertThat(decide(request(ROUTE, large))).isInstanceOf(NextStep.Send.class);
    }

    /** Guards against urgent requests of a large account that are rejected while less urgent ones of others are admitted. */
    @Test
    void urgent_request_of_an_account_above_its_share_is_admitted_while_only_less_urgent_ones_are_rejected() {
        publishUrgentAndPatientRoutes();
        Account large = new Account("large", List.of(), -1);
        Account small = new Account("small", List.of(), -1);
        admitManyOf(large, small);
        full("one");
        full("two");
        assertThat(decide(request(PATIENT_ROUTE, small))).isInstanceOf(NextStep.GiveUp.class);
        busyForBoth();
        assertThat(decide(request(ROUTE, large))).isInstanceOf(NextStep.Send.class);
    }

    private void rejectOneOf(Account account) {
        full("one");
        full("two");
        assertThat(decide(request(ROUTE, account))).isInstanceOf(NextStep.GiveUp.class);
    }

    /** Guards against shares that change how a service with one priority is served. */
    @Test
    void account_shares_do_not_apply_where_all_routes_have_one_priority() {
        Account large = new Account("large", List.of(), -1);
        admitManyOf(large, new Account("small", List.of(), -1));
        busyForBoth();
        assertThat(decide(request(ROUTE, large))).isInstanceOf(NextStep.Send.class);
    }

    private void admitManyOf(Account large, Account small) {
        for (int sent = 0; sent < 40; sent++) {
            halfFull("one");
            assertThat(decide(request(ROUTE, sent == 0 ? small : large))).isInstanceOf(NextStep.Send.class);
        }
    }

    private void publishUrgentAndPatientRoutes() {
        policy.update(
                ServingConfiguration.of(
                        2, List.of(ROUTE, PATIENT_ROUTE), List.of(SERVICE), ClientLimits.DEFAULT, List.of()),
                OptionalInt.of(GATEWAYS));
    }

    /** Reports a load at which a request begins late in the objective of ROUTE, but within it. */
    private void busyForBoth() {
        EngineLoad busy = new EngineLoad(8, 0, 0, 0, 1.2, false);
        targets.loadReported("one", busy, 0, 2);
        targets.loadReported("two", busy, 0, 2);
    }

    private RequestProgress request(Route route, Account account) {
        RequestProgress request = RequestProgress.of(route, account, SERVICE, 1_000, clock.millis() + 6_000);
        policy.requestArrived(request);
        return request;
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
        policy.requestArrived(request);
        return request;
    }

    @Test
    void unknown_gateway_count_gives_no_retry_allowance() {
        RequestPolicy withoutCount = RequestPolicy.of(
                clock, targets, new RetryLimits(0.2, 100, 10_000), RandomSource.XO_RO_SHI_RO_128_PP.create(8));
        ServingConfiguration configuration =
                ServingConfiguration.of(1, List.of(ROUTE), List.of(SERVICE), ClientLimits.DEFAULT, List.of());
        withoutCount.update(configuration, OptionalInt.empty());
        clock.advance(10_000);
        assertThat(isRetriedAfterFailure(withoutCount)).isFalse();
        withoutCount.update(configuration, OptionalInt.of(GATEWAYS));
        assertThat(isRetriedAfterFailure(withoutCount)).isFalse();
        clock.advance(10_000);
        assertThat(isRetriedAfterFailure(withoutCount)).isTrue();
    }

    /** Guards against a failure when targets are published before the first configuration. */
    @Test
    void gateway_count_may_be_known_before_the_configuration() {
        RequestPolicy early = RequestPolicy.of(
                clock, targets, new RetryLimits(0.2, 100, 10_000), RandomSource.XO_RO_SHI_RO_128_PP.create(8));
        early.update(null, OptionalInt.of(GATEWAYS));
        early.update(
                ServingConfiguration.of(1, List.of(ROUTE), List.of(SERVICE), ClientLimits.DEFAULT, List.of()),
                OptionalInt.of(GATEWAYS));
        clock.advance(10_000);
        assertThat(isRetriedAfterFailure(early)).isTrue();
    }

    private boolean isRetriedAfterFailure(RequestPolicy asked) {
        RequestProgress request = request();
        while (asked.next(request) instanceof NextStep.PollLoad) {
            clock.advance(1);
        }
        request.sent();
        return asked.retryAfterFailure(request).isPresent();
    }

    @Test
    void request_is_rejected_as_not_run_only_if_no_target_may_have_executed_it() {
        RequestProgress request = request();
        assertThat(request.mayHaveRun()).isFalse();
        request.sent();
        assertThat(request.mayHaveRun()).isTrue();
        request.notRun();
        assertThat(request.mayHaveRun()).isFalse();
        request.sent();
        request.sent();
        request.notRun();
        assertThat(request.mayHaveRun()).isTrue();
    }

    /** Guards against ending a begun stream because its resumption was rejected by a target that did not run it. */
    @Test
    void begun_stream_is_sent_on_after_the_target_of_its_resumption_rejected_it() {
        addTargets("three");
        RequestProgress stream = begunStream();
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
        stream.sent();
        stream.notRun();
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void begun_stream_is_not_run_more_often_than_its_route_allows() {
        addTargets("three", "four");
        RequestProgress stream = begunStream();
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
        stream.sent();
        stream.notRun();
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
        stream.sent();
        assertThat(decide(stream)).isEqualTo(attemptsUsedUp());
    }

    @Test
    void rejections_of_a_begun_stream_are_bounded() {
        addTargets("three", "four", "five", "six", "seven", "eight", "nine");
        RequestProgress stream = begunStream();
        while (decide(stream) instanceof NextStep.Send) {
            stream.sent();
            stream.notRun();
        }
        assertThat(decide(stream)).isEqualTo(attemptsUsedUp());
    }

    @Test
    void request_without_a_response_is_sent_no_more_often_than_its_route_allows() {
        addTargets("three");
        clock.advance(10_000);
        RequestProgress request = request();
        for (int send = 0; send < ROUTE.maximumAttempts(); send++) {
            assertThat(decide(request)).isInstanceOf(NextStep.Send.class);
            request.sent();
            request.notRun();
        }
        assertThat(decide(request)).isEqualTo(attemptsUsedUp());
    }

    /** Guards against ending a begun stream because no target is free at this instant. */
    @Test
    void begun_stream_waits_for_a_target() {
        useTargets(sighting("one", "here"));
        RequestProgress stream = begunStream();
        assertThat(decide(stream)).isInstanceOf(NextStep.AwaitTarget.class);
        addTargets();
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void begun_stream_waits_no_longer_than_its_caller() {
        useTargets(sighting("one", "here"));
        RequestProgress stream = begunStream();
        long begunMillis = clock.millis();
        awaitTarget(stream);
        assertThat(clock.millis() - begunMillis).isBetween(1_000L, 4 * ROUTE.objectiveMillis());
        assertThat(decide(stream)).isInstanceOf(NextStep.GiveUp.class);
    }

    @Test
    void begun_stream_waits_no_longer_than_its_deadline() {
        useTargets(sighting("one", "here"));
        RequestProgress stream = begunStream();
        clock.advance(stream.deadlineMillis() - 200 - clock.millis());
        stream.eventForwarded("2", clock.millis());
        awaitTarget(stream);
        assertThat(clock.millis()).isLessThan(stream.deadlineMillis());
    }

    private void awaitTarget(RequestProgress stream) {
        while (decide(stream) instanceof NextStep.AwaitTarget wait) {
            clock.advance(wait.timeoutMillis());
        }
    }

    @Test
    void request_without_a_response_does_not_wait_for_a_target() {
        useTargets();
        assertThat(decide(request())).isInstanceOf(NextStep.GiveUp.class);
    }

    @Test
    void begun_stream_waits_until_an_engine_has_changed_weights() {
        useTargets(sighting("one", "here"), sighting("two", "here"));
        RequestProgress stream = begunStream();
        targets.loadReported(untried(stream), new EngineLoad(0, 0, 0, 0, 1, true), 0, 2);
        assertThat(decide(stream)).isInstanceOf(NextStep.AwaitTarget.class);
        targets.loadReported(untried(stream), EngineLoad.NONE, 0, 2);
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
    }

    private static String untried(RequestProgress stream) {
        return stream.triedTargets().contains("one") ? "two" : "one";
    }

    /** Guards against excluding a target that broke a stream off only to change its weights. */
    @Test
    void begun_stream_is_taken_up_again_by_a_target_that_holds_newer_weights() {
        useTargets(sighting("one", "here"), sighting("two", "here"));
        policy.versionAnnounced(WEIGHTS.model(), 2, clock.millis() + 60_000);
        RequestProgress stream = begunStream(WITH_WEIGHTS);
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
        stream.sent();
        assertThat(decide(stream)).isInstanceOf(NextStep.AwaitTarget.class);
        useTargets(sighting("one", "here"), sighting("two", "here", 2), sighting("three", "here", 2));
        assertThat(chosenTarget(stream)).isEqualTo("two");
        stream.sent();
        useTargets(sighting("one", "here", 2), sighting("two", "here", 2), sighting("three", "here", 2));
        assertThat(chosenTarget(stream)).isEqualTo("one");
        stream.sent();
        assertThat(decide(stream)).isEqualTo(attemptsUsedUp());
    }

    @Test
    void target_that_failed_with_its_present_weights_stays_excluded() {
        useTargets(sighting("one", "here", 2));
        policy.versionAnnounced(WEIGHTS.model(), 2, clock.millis() + 60_000);
        RequestProgress stream = begunStream(WITH_WEIGHTS);
        awaitTarget(stream);
        assertThat(decide(stream)).isInstanceOf(NextStep.GiveUp.class);
    }

    /** Guards against begun streams that are lost because rejected requests have spent the retry budget. */
    @Test
    void begun_stream_is_resumed_after_retries_of_other_requests() {
        addTargets("three");
        RequestProgress stream = begunStream();
        retryUntilRefused();
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
    }

    @Test
    void begun_stream_waits_for_the_retry_budget() {
        addTargets("three");
        RequestProgress stream = begunStream();
        while (decide(begunAgain(stream)) instanceof NextStep.Send) {
            clock.advance(1);
        }
        assertThat(decide(stream)).isInstanceOf(NextStep.AwaitTarget.class);
        Stream.generate(this::request).limit(10).forEach(earning -> {});
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
    }

    /** Returns another stream in the state of a begun one. */
    private RequestProgress begunAgain(RequestProgress begun) {
        RequestProgress stream = RequestProgress.of(ROUTE, begun.service(), 1_000, begun.deadlineMillis());
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
        stream.sent();
        stream.eventForwarded("1", clock.millis());
        return stream;
    }

    private void retryUntilRefused() {
        boolean retried = true;
        while (retried) {
            RequestProgress request = RequestProgress.of(ROUTE, SERVICE, 1_000, clock.millis() + 6_000);
            assertThat(decide(request)).isInstanceOf(NextStep.Send.class);
            request.sent();
            request.notRun();
            retried = decide(request) instanceof NextStep.Send;
        }
    }

    /** Guards against resuming a stream at an engine that will break it off again. */
    @Test
    void begun_stream_is_resumed_at_an_engine_that_changes_weights_later() {
        useTargets(sighting("first", "here"));
        RequestProgress stream = begunStream();
        useTargets(sighting("soon", "here"), sighting("late", "here"));
        targets.loadReported("soon", EngineLoad.NONE, 0, 2);
        targets.loadReported("late", HALF_FULL, 0, 2);
        targets.interruptionAnnounced("soon", 2_500);
        targets.interruptionAnnounced("late", 10_000);
        assertThat(chosenTarget(stream)).isEqualTo("late");
    }

    @Test
    void begun_stream_is_resumed_at_an_engine_with_the_newest_weights() {
        useTargets(sighting("first", "here"));
        RequestProgress stream = begunStream(WITH_WEIGHTS);
        policy.versionAnnounced(WEIGHTS.model(), 2, clock.millis() + 60_000);
        useTargets(sighting("older", "here", 1), sighting("newest", "here", 2));
        targets.loadReported("older", EngineLoad.NONE, 0, 2);
        targets.loadReported("newest", HALF_FULL, 0, 2);
        assertThat(chosenTarget(stream)).isEqualTo("newest");
    }

    /** Guards against breaking off the only run that is left for a request. */
    @Test
    void last_attempt_of_a_request_goes_to_an_engine_that_changes_weights_later() {
        useTargets(sighting("first", "here"));
        clock.advance(10_000);
        RequestProgress request = request();
        assertThat(decide(request)).isInstanceOf(NextStep.Send.class);
        request.sent();
        useTargets(sighting("soon", "here"), sighting("late", "here"));
        targets.loadReported("soon", EngineLoad.NONE, 0, 2);
        targets.loadReported("late", HALF_FULL, 0, 2);
        targets.interruptionAnnounced("soon", 2_500);
        assertThat(chosenTarget(request)).isEqualTo("late");
    }

    @Test
    void begun_stream_is_resumed_at_an_engine_that_changes_weights_soon_if_no_other_starts_it_in_time() {
        useTargets(sighting("first", "here"));
        RequestProgress stream = begunStream();
        useTargets(sighting("soon", "here"), sighting("late", "here"));
        targets.loadReported("soon", EngineLoad.NONE, 0, 2);
        full("late");
        targets.interruptionAnnounced("soon", 2_500);
        assertThat(chosenTarget(stream)).isEqualTo("soon");
    }

    /** Guards against taking a target for dead that still processes the prompt of a resumed stream. */
    @Test
    void resumed_stream_may_be_silent_for_twice_its_predicted_time_to_the_first_event() {
        RequestProgress stream = begunStream();
        TargetState other = ((NextStep.Send) decide(stream)).candidate().target();
        Candidate slow = new Candidate(other, 3_000, 0, 0);
        assertThat(policy.silenceTimeoutMillis(stream, slow, clock.millis(), false))
                .isEqualTo(6_000);
        assertThat(policy.silenceTimeoutMillis(stream, slow, clock.millis(), true))
                .isLessThan(3_000);
    }

    private String chosenTarget(RequestProgress stream) {
        return ((NextStep.Send) decide(stream)).candidate().target().sighting().id();
    }

    private static NextStep.GiveUp attemptsUsedUp() {
        return new NextStep.GiveUp(FailureCause.ATTEMPTS, "attempts used up", RetryAfter.OTHER_GATEWAY_MILLIS);
    }

    /** Returns a stream whose target broke off after its first event, while retries are left. */
    private RequestProgress begunStream() {
        return begunStream(SERVICE);
    }

    private RequestProgress begunStream(Service service) {
        clock.advance(10_000);
        RequestProgress stream = RequestProgress.of(ROUTE, service, 1_000, clock.millis() + 6_000);
        policy.requestArrived(stream);
        assertThat(decide(stream)).isInstanceOf(NextStep.Send.class);
        stream.sent();
        stream.eventForwarded("1", clock.millis());
        return stream;
    }

    private void addTargets(String... more) {
        List<TargetSighting> sightings = new ArrayList<>(List.of(sighting("one", "here"), sighting("two", "there")));
        for (String id : more) {
            sightings.add(sighting(id, "here"));
        }
        useTargets(sightings.toArray(TargetSighting[]::new));
    }

    private void useTargets(TargetSighting... sightings) {
        targets.update(List.of(sightings));
        targets.setWatched(Stream.of(sightings).map(TargetSighting::id).collect(Collectors.toSet()));
    }

    @Test
    void active_target_has_a_longer_silence_timeout() {
        long alone = SilenceTimeout.beforeFirstEventMillis(600, 200, false);
        assertThat(SilenceTimeout.beforeFirstEventMillis(600, 200, true)).isGreaterThan(alone);
        assertThat(SilenceTimeout.beforeFirstEventMillis(600, 2_000, false)).isEqualTo(4_000);
        assertThat(SilenceTimeout.betweenEventsMillis(true)).isGreaterThan(SilenceTimeout.betweenEventsMillis(false));
    }

    private void halfFull(String id) {
        targets.loadReported(id, HALF_FULL, 0, 2);
    }

    private void full(String id) {
        targets.loadReported(id, new EngineLoad(8, 8, 0, 0, 1, false), 0, 2);
    }

    private RequestProgress request() {
        return request(1_000);
    }

    private RequestProgress request(int promptTokens) {
        RequestProgress request = RequestProgress.of(ROUTE, SERVICE, promptTokens, clock.millis() + 6_000);
        policy.requestArrived(request);
        return request;
    }

    private static TargetSighting sighting(String id, String hall) {
        return sighting(id, hall, 1);
    }

    private static TargetSighting sighting(String id, String hall, int heldVersion) {
        return new TargetSighting(id, "chat", id, hall, 8, false, heldVersion, 1);
    }
}

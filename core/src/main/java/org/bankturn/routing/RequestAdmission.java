package org.bankturn.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.time.Clock;

/**
 * Decides whether a request that was not sent yet is admitted or rejected with a retry delay.
 *
 * <p>Load pattern: more requests than the targets of a service can start in time. It performs no I/O. RequestAdmission
 * is mutable and not thread-safe.
 */
final class RequestAdmission {
    private final Clock clock;
    private final UniformRandomProvider random;
    private final Map<ServicePriority, PredictionCorrection> corrections = new HashMap<>();
    private final Map<String, List<Route>> routesByService = new HashMap<>();
    private final Map<String, UrgencyPressure> pressures = new HashMap<>();
    private final Map<String, AccountShares> accountShares = new HashMap<>();
    private final Map<String, FirstAttemptPriority> firstAttempts = new HashMap<>();
    private final Map<String, SizeFairness> sizeFairness = new HashMap<>();
    private final CallerRetryDetector callerRetries;
    private ServingConfiguration configuration;

    /** The requests of one priority to one service. */
    private record ServicePriority(String service, int priority) {}

    /** Returns an admission without a configuration and without observations, not null. */
    static RequestAdmission of(Clock clock, UniformRandomProvider random) {
        return new RequestAdmission(clock, random);
    }

    private RequestAdmission(Clock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
        this.callerRetries = CallerRetryDetector.of(clock);
    }

    // ---- updates

    /**
     * Applies a configuration.
     *
     * @param newest the configuration, null if there is none yet
     */
    void update(ServingConfiguration newest) {
        configuration = newest;
        routesByService.clear();
        if (newest != null) {
            sizeFairness
                    .keySet()
                    .retainAll(newest.routes().stream().map(Route::name).toList());
        }
    }

    /** Records a new request and marks it if its caller was rejected before. */
    void requestArrived(RequestProgress request) {
        boolean hasAdmission = request.service().engine() != null;
        if (hasAdmission && callerRetries.isRetry(request.route().name(), request.deadlineMillis() - clock.millis())) {
            request.markCallerRetry();
        }
    }

    /** Records that a service had no target for a request, so that rejections say nothing about its load. */
    void noTargetAvailable(Service service) {
        firstAttempts(service).reset();
        pressure(service).reset();
        callerRetries.requestRejected();
    }

    /** Returns the prediction correction for requests like the given one, not null. */
    PredictionCorrection correction(RequestProgress request) {
        // engines take urgent requests first, so the delays of other requests say nothing about theirs
        return corrections.computeIfAbsent(
                new ServicePriority(request.service().name(), request.priority()), key -> PredictionCorrection.none());
    }

    // ---- decisions

    /** Returns the rejection of a request, empty if the target may start it. The decision is recorded. */
    Optional<NextStep.GiveUp> rejection(RequestProgress request, Candidate candidate) {
        if (request.service().engine() == null) {
            return Optional.empty();
        }
        double shareFactor = accountShareFactor(request);
        double latest = maxStartDelayMillis(request);
        boolean tooLate = startsTooLate(request, candidate, latest * shareFactor);
        if (!tooLate) {
            accountShares(request.service())
                    .admitted(
                            request.accountName(),
                            request.promptTokens(),
                            request.service().engine().usualAnswerTokens());
        }
        double expected = expectedMillis(request, candidate);
        boolean aboveShare = tooLate && shareFactor < 1 && expected <= latest;
        // a rejection for an account's share does not show that capacity is short
        if (!request.isCallerRetry() && !aboveShare) {
            firstAttempts(request.service()).recordDecision(tooLate);
            pressure(request.service()).recordDecision(request.priority(), tooLate);
        }
        if (!tooLate) {
            return Optional.empty();
        }
        correction(request).requestRejected();
        callerRetries.requestRejected();
        String reason = "would begin after " + Math.round(candidate.predictedMillis()) + " ms, "
                + candidate.roundTripMillis() + " ms of it on the way";
        long retryAfter = RetryAfter.forBusyEngines(request.service().engine(), random);
        if (request.isCallerRetry()) {
            return Optional.of(new NextStep.GiveUp(FailureCause.LATE_START, reason, retryAfter));
        }
        if (aboveShare) {
            reason += "; account is above its share";
            return Optional.of(new NextStep.GiveUp(FailureCause.ACCOUNT_SHARE, reason, retryAfter));
        }
        // the limit of the most urgent requests, with the same objective
        if (expected <= AdmissionPolicy.maxStartDelayMillis(request.route().objectiveMillis(), 0, 0)) {
            reason += "; makes room as priority " + request.priority();
            return Optional.of(new NextStep.GiveUp(FailureCause.LESS_URGENT, reason, retryAfter));
        }
        return Optional.of(new NextStep.GiveUp(FailureCause.LATE_START, reason, retryAfter));
    }

    /**
     * Returns true if the selected target would start the request so late that it is rejected.
     *
     * <p>A large request of an underserved size is admitted if one of mean size would be; the others make room for it.
     */
    private boolean startsTooLate(RequestProgress request, Candidate candidate, double latest) {
        double expected = expectedMillis(request, candidate);
        if (request.isCallerRetry()) {
            return expected > latest * firstAttempts(request.service()).retryLimitFactor();
        }
        SizeFairness fairness = sizeFairness.computeIfAbsent(request.route().name(), key -> SizeFairness.none());
        boolean tooLate;
        if (fairness.isUnderserved(request.promptTokens())) {
            tooLate = expected - largePromptMillis(request, candidate, fairness) > latest;
        } else {
            tooLate = expected > latest * (fairness.isAnyUnderserved() ? AdmissionPolicy.SHARE_BESIDE_UNDERSERVED : 1);
        }
        fairness.recordDecision(request.promptTokens(), !tooLate);
        return tooLate;
    }

    private double expectedMillis(RequestProgress request, Candidate candidate) {
        return correction(request).applyTo(candidate.predictedMillis());
    }

    /**
     * Returns the maximum start delay of a request.
     *
     * <p>It is derived from the strictest objective of the more urgent routes, so that a long objective does not give
     * a less urgent request the capacity that they need.
     */
    private double maxStartDelayMillis(RequestProgress request) {
        List<Route> routes = routes(request.service());
        int highest = routes.stream().mapToInt(RequestAdmission::priority).min().orElse(0);
        long objective = routes.stream()
                .filter(route -> priority(route) < request.priority())
                .mapToLong(Route::objectiveMillis)
                .reduce(request.route().objectiveMillis(), Math::min);
        return AdmissionPolicy.maxStartDelayMillis(objective, request.priority(), highest)
                * pressure(request.service()).limitFactor(request.priority());
    }

    /** Returns the part of the predicted delay that is due to a prompt being longer than the mean of its route. */
    private static double largePromptMillis(RequestProgress request, Candidate candidate, SizeFairness fairness) {
        double tokens = fairness.tokensAboveMean(request.promptTokens());
        return FirstEventEstimate.of(request.service().engine()).promptMillis(tokens)
                * Math.max(1, candidate.target().latencyRatio());
    }

    private FirstAttemptPriority firstAttempts(Service service) {
        return firstAttempts.computeIfAbsent(service.name(), key -> FirstAttemptPriority.none(clock));
    }

    private UrgencyPressure pressure(Service service) {
        return pressures.computeIfAbsent(service.name(), key -> UrgencyPressure.none(clock));
    }

    private AccountShares accountShares(Service service) {
        return accountShares.computeIfAbsent(service.name(), key -> AccountShares.none(clock));
    }

    /**
     * Returns the limit factor of the request's account: 1 in a service whose requests all have one priority, and while
     * capacity is not short, so that no slot stays idle for a share.
     *
     * <p>The most urgent requests are limited no further than less urgent ones are on their account, so that capacity is
     * taken from the less urgent requests of all accounts before it is taken from urgent ones of a large account.
     */
    private double accountShareFactor(RequestProgress request) {
        Service service = request.service();
        int highest = routes(service).stream()
                .mapToInt(RequestAdmission::priority)
                .min()
                .orElse(0);
        boolean ordered = routes(service).stream().anyMatch(route -> priority(route) != highest);
        if (!ordered || !firstAttempts(service).isShort()) {
            return 1;
        }
        double factor = accountShares(service).limitFactor(request.accountName());
        return request.priority() <= highest
                ? Math.max(factor, pressure(service).limitFactor(highest + 1))
                : factor;
    }

    private static int priority(Route route) {
        return RequestProgress.clampedPriority(route.priority());
    }

    /** Returns the routes that a service serves, not null. */
    private List<Route> routes(Service service) {
        return routesByService.computeIfAbsent(
                service.name(),
                name -> configuration.routes().stream()
                        .filter(route -> route.services().stream()
                                .anyMatch(weighted -> weighted.service().equals(name)))
                        .toList());
    }
}

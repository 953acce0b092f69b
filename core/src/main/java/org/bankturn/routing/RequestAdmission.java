package org.bankturn.routing;

import java.util.HashMap;
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
    private final Map<String, PredictionCorrection> corrections = new HashMap<>();
    private final Map<String, Integer> highestPriority = new HashMap<>();
    private final Map<String, FirstAttemptPriority> firstAttempts = new HashMap<>();
    private final Map<String, SizeFairness> sizeFairness = new HashMap<>();
    private final CallerRetryDetector callerRetries;
    private ServingConfiguration configuration;

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
        highestPriority.clear();
        if (newest != null) {
            sizeFairness
                    .keySet()
                    .retainAll(newest.routes().stream().map(Route::name).toList());
        }
    }

    /** Records a new request and marks it if its caller was rejected before. */
    void requestArrived(RequestProgress request) {
        if (callerRetries.isRetry(request.route().name(), request.deadlineMillis() - clock.millis())) {
            request.markCallerRetry();
        }
    }

    /** Records that a service had no target for a request, so that rejections say nothing about its load. */
    void noTargetAvailable(Service service) {
        firstAttempts(service).reset();
    }

    /** Returns the prediction correction of a service, not null. */
    PredictionCorrection correction(Service service) {
        return corrections.computeIfAbsent(service.name(), key -> PredictionCorrection.none());
    }

    // ---- decisions

    /** Returns the rejection of a request, empty if the target may start it. The decision is recorded. */
    Optional<NextStep.GiveUp> rejection(RequestProgress request, Candidate candidate) {
        boolean tooLate = startsTooLate(request, candidate);
        if (!request.isCallerRetry()) {
            firstAttempts(request.service()).recordDecision(tooLate);
        }
        if (!tooLate) {
            return Optional.empty();
        }
        correction(request.service()).requestRejected();
        String reason = "would begin after " + Math.round(candidate.predictedMillis()) + " ms, "
                + candidate.roundTripMillis() + " ms of it on the way";
        long retryAfter = RetryAfter.forBusyEngines(request.service().engine(), random);
        return Optional.of(new NextStep.GiveUp(FailureCause.LATE_START, reason, retryAfter));
    }

    /**
     * Returns true if the selected target would start the request so late that it is rejected.
     *
     * <p>A large request of an underserved size is admitted if one of mean size would be; the others make room for it.
     */
    private boolean startsTooLate(RequestProgress request, Candidate candidate) {
        Service service = request.service();
        if (service.engine() == null) {
            return false;
        }
        Route route = request.route();
        double expected = correction(service).applyTo(candidate.predictedMillis());
        double latest = AdmissionPolicy.maxStartDelayMillis(
                route.objectiveMillis(), route.priority(), highestPriority(service));
        if (request.isCallerRetry()) {
            return expected > latest * firstAttempts(service).retryLimitFactor();
        }
        SizeFairness fairness = sizeFairness.computeIfAbsent(route.name(), key -> SizeFairness.none());
        boolean tooLate;
        if (fairness.isUnderserved(request.promptTokens())) {
            tooLate = expected - largePromptMillis(request, candidate, fairness) > latest;
        } else {
            tooLate = expected > latest * (fairness.isAnyUnderserved() ? AdmissionPolicy.SHARE_BESIDE_UNDERSERVED : 1);
        }
        fairness.recordDecision(request.promptTokens(), !tooLate);
        return tooLate;
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

    /** Returns the highest priority among the routes of a service. */
    private int highestPriority(Service service) {
        return highestPriority.computeIfAbsent(
                service.name(),
                name -> configuration.routes().stream()
                        .filter(route -> route.services().stream()
                                .anyMatch(weighted -> weighted.service().equals(name)))
                        .mapToInt(Route::priority)
                        .min()
                        .orElse(0));
    }
}

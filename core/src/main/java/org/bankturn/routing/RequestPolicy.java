package org.bankturn.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.time.Clock;

/**
 * Decides where a gateway sends each request, whether it is rejected, and when its caller should retry.
 *
 * <p>It performs no I/O, so load can be replayed through it without a network. RequestPolicy is mutable and not
 * thread-safe.
 */
public final class RequestPolicy {
    /** The minimum remaining time to send a request; about one round trip to a target. */
    private static final long MIN_REMAINING_MILLIS = 20;

    /** The failed connections after which a request is given up; the fault is likely to be local. */
    private static final int MAX_FAILED_CONNECTIONS = 4;

    /** The rejections of a begun stream that do not count as attempts; bounds its sends. */
    private static final int MAX_UNCOUNTED_REJECTIONS = 4;

    /** The maximum wait for a permit, as a share of the objective. */
    private static final double PERMIT_WAIT_SHARE = 0.125;

    /** The minimum time for which callers wait for the next event of a stream. */
    private static final long MIN_CALLER_PATIENCE_MILLIS = 2_000;

    /** The time for which callers wait for the next event of a stream, as a multiple of the objective. */
    private static final int CALLER_PATIENCE_OBJECTIVES = 4;

    /** How often a begun stream looks for a target; shorter than the pause between two events of a busy engine. */
    private static final long TARGET_CHECK_INTERVAL_MILLIS = 50;

    /** The share of the allowed retries that requests earn; the rest is reserved for carry-over. */
    private static final double EARNED_RETRY_SHARE = 1 / (1 + RetryBudget.CARRY_OVER_SHARE);

    /** The share of the carried-over retries that is reserved for begun streams; other requests can be rejected. */
    private static final double RESERVED_FOR_RESUMPTIONS = 0.5;

    /** The gateway count until it is known, so that the gateway has no part of the shared allowance. */
    private static final int UNKNOWN_GATEWAYS = Integer.MAX_VALUE;

    private static final String ATTEMPTS_USED_UP = "attempts used up";

    private final Clock clock;
    private final TargetTable targets;
    private final RetryLimits retryLimits;
    private final UniformRandomProvider random;
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<String, VersionDeadlines> versionDeadlines = new HashMap<>();
    private ServingConfiguration configuration;
    private final RequestAdmission admission;

    /** The maximum number of gateways seen; gateways that seem gone may have spent their part or still spend it. */
    private int maxGateways = UNKNOWN_GATEWAYS;

    /**
     * Returns a policy without a configuration, not null.
     *
     * @param clock the time, not null
     * @param targets the targets known to the gateway, not null
     * @param retryLimits the retry limits of the deployment, not null
     * @param random the source of randomness, not null
     */
    public static RequestPolicy of(
            Clock clock, TargetTable targets, RetryLimits retryLimits, UniformRandomProvider random) {
        return new RequestPolicy(clock, targets, retryLimits, random);
    }

    private RequestPolicy(Clock clock, TargetTable targets, RetryLimits retryLimits, UniformRandomProvider random) {
        this.clock = clock;
        this.targets = targets;
        this.retryLimits = retryLimits;
        this.random = random;
        this.admission = RequestAdmission.of(clock, random);
    }

    // ---- updates

    /**
     * Applies a configuration.
     *
     * @param newest the configuration, null if there is none yet
     * @param gatewayCount the number of gateways including this one; empty if unknown
     * @throws IllegalArgumentException if there are fewer than one
     */
    public void update(ServingConfiguration newest, OptionalInt gatewayCount) {
        configuration = newest;
        admission.update(newest);
        gatewayCount.ifPresent(this::gatewayCountSeen);
        if (newest != null) {
            // budgets start to accrue when a service becomes known
            newest.services()
                    .values()
                    .forEach(service -> retryBudget(service)
                            .setReservedShare(
                                    newest.hasResumableStreams(service.name()) ? RESERVED_FOR_RESUMPTIONS : 0));
        }
    }

    private void gatewayCountSeen(int count) {
        if (count < 1) {
            throw new IllegalArgumentException("gateways must be 1 or more, not " + count);
        }
        if (maxGateways == UNKNOWN_GATEWAYS || count > maxGateways) {
            maxGateways = count;
            retryBudgets.values().forEach(budget -> budget.setAllowance(allowance()));
        }
    }

    /** Records a new version of a model's weights and the deadline for requests on older ones. */
    public void versionAnnounced(String model, int version, long deadlineMillis) {
        versionDeadlines
                .computeIfAbsent(model, key -> VersionDeadlines.none())
                .versionAnnounced(version, deadlineMillis);
    }

    /** Returns the minimum version for requests to a service, 0 for any, -1 if the service has no weights. */
    public int minVersion(Service service) {
        return service.weights() == null ? -1 : versionDeadlines(service).minVersion(clock.millis());
    }

    /** Returns true if a target holds weights of a service that may no longer start requests. */
    public boolean holdsOutdatedWeights(Service service, TargetState target) {
        return target.heldVersion() < minVersion(service);
    }

    /** Returns the prediction correction for requests like the given one, not null. */
    public PredictionCorrection correction(RequestProgress request) {
        return admission.correction(request);
    }

    /**
     * Returns the time that a target may send nothing before a request is moved to another target, in milliseconds.
     *
     * @param request the request, not null
     * @param candidate the target that serves it, not null
     * @param lastReceivedMillis when the request was sent or last received data
     * @param dataReceived true if this target has sent data, false if it may still process the prompt
     */
    public long silenceTimeoutMillis(
            RequestProgress request, Candidate candidate, long lastReceivedMillis, boolean dataReceived) {
        boolean active = candidate.target().hasRecentActivity(clock.millis(), lastReceivedMillis);
        long betweenEvents = SilenceTimeout.betweenEventsMillis(active);
        if (request.lastEventId() != null && dataReceived) {
            return betweenEvents;
        }
        long beforeFirstEvent = SilenceTimeout.beforeFirstEventMillis(
                request.route().objectiveMillis(), candidate.predictedMillis(), active);
        return request.lastEventId() == null ? beforeFirstEvent : Math.max(beforeFirstEvent, betweenEvents);
    }

    // ---- decisions

    /** Registers a new request, which earns part of a retry. */
    public void requestArrived(RequestProgress request) {
        retryBudget(request.service()).recordRequest();
        admission.requestArrived(request);
    }

    /** Returns the next step for a request that is not at a target, not null. */
    public NextStep next(RequestProgress request) {
        if (!hasAttemptLeft(request) && !mayRunAgain(request)) {
            return giveUp(FailureCause.ATTEMPTS, ATTEMPTS_USED_UP);
        }
        if (isDeadlineReached(request)) {
            return giveUp(FailureCause.DEADLINE, "no time left");
        }
        if (request.failedConnections() >= MAX_FAILED_CONNECTIONS) {
            return giveUp(FailureCause.CONNECTIONS, "no connection to " + request.failedConnections() + " targets");
        }
        Optional<NextStep> poll = pollIfNeeded(request);
        return poll.isPresent() ? poll.get() : place(request);
    }

    /** Returns the poll to make before the request is placed, empty if load reports are fresh enough. */
    private Optional<NextStep> pollIfNeeded(RequestProgress request) {
        Requirements requirements = requirements(request);
        if (!request.localPolled()) {
            request.markLocalPolled();
            List<String> local = localTargetsToPoll(request, requirements);
            if (!local.isEmpty()) {
                return Optional.of(new NextStep.PollLoad(local));
            }
        }
        if (request.remotePolled()) {
            return Optional.empty();
        }
        Optional<Candidate> known = targets.choose(requirements);
        if (known.isPresent() && targets.staysLocal(known.get(), requirements)) {
            return Optional.empty();
        }
        request.markRemotePolled();
        List<String> remote = targets.targetsToPoll(requirements, true);
        return remote.isEmpty() ? Optional.empty() : Optional.of(new NextStep.PollLoad(remote));
    }

    private List<String> localTargetsToPoll(RequestProgress request, Requirements requirements) {
        List<String> local = targets.targetsToPoll(requirements, false);
        return local.isEmpty() && request.hasBegun() ? targets.changingTargetsToPoll(requirements) : local;
    }

    private NextStep place(RequestProgress request) {
        Optional<Candidate> candidate = choose(request);
        if (candidate.isEmpty()) {
            Optional<NextStep> wait = awaitPermit(request).or(() -> awaitTarget(request));
            if (wait.isPresent()) {
                return wait.get();
            }
            if (!hasAttemptLeft(request)) {
                return giveUp(FailureCause.ATTEMPTS, ATTEMPTS_USED_UP);
            }
            admission.noTargetAvailable(request.service());
            return rejectWithoutTarget(request);
        }
        if (candidate.get().target().isBrieflyUnavailable(clock.millis())) {
            Optional<NextStep> wait = awaitTarget(request);
            if (wait.isPresent()) {
                return wait.get();
            }
        }
        Optional<NextStep.GiveUp> rejection =
                request.sends() == 0 ? admission.rejection(request, candidate.get()) : Optional.empty();
        if (rejection.isPresent()) {
            return rejection.get();
        }
        if (request.sends() > 0 && !takeRetry(request)) {
            return awaitTarget(request).orElseGet(() -> giveUp(FailureCause.RETRY_BUDGET, "retry budget used up"));
        }
        return send(request, candidate.get());
    }

    private boolean takeRetry(RequestProgress request) {
        RetryBudget budget = retryBudget(request.service());
        return request.hasBegun() ? budget.tryResume() : budget.tryRetry();
    }

    /** Returns a short wait for a permit if the request has no other target. */
    private Optional<NextStep> awaitPermit(RequestProgress request) {
        long now = clock.millis();
        request.limitPermitWait(now + Math.round(request.route().objectiveMillis() * PERMIT_WAIT_SHARE));
        long timeout = request.permitWaitDeadlineMillis() - now;
        if (timeout <= 0) {
            return Optional.empty();
        }
        return targets.targetWithPermitWithin(timeout, requirements(request))
                .map(target -> new NextStep.AwaitPermit(target, timeout));
    }

    /** Returns a short wait for a target if the request has begun and its caller still waits for the next event. */
    private Optional<NextStep> awaitTarget(RequestProgress request) {
        if (!request.hasBegun()) {
            return Optional.empty();
        }
        long objective = request.route().objectiveMillis();
        long patience = Math.max(MIN_CALLER_PATIENCE_MILLIS, CALLER_PATIENCE_OBJECTIVES * objective);
        // the resumed stream needs time for its first event, too
        long latest = Math.min(
                request.lastEventMillis() + patience - objective, request.deadlineMillis() - MIN_REMAINING_MILLIS);
        long left = latest - clock.millis();
        if (left <= 0) {
            return Optional.empty();
        }
        request.targetAwaited();
        return Optional.of(new NextStep.AwaitTarget(Math.min(TARGET_CHECK_INTERVAL_MILLIS, left)));
    }

    private NextStep.GiveUp rejectWithoutTarget(RequestProgress request) {
        Requirements requirements = requirements(request);
        long retryAfter =
                request.triedTargets().isEmpty() ? RetryAfter.NO_TARGET_MILLIS : RetryAfter.ALL_TARGETS_TRIED_MILLIS;
        if (targets.isLimitedByRegions(requirements)) {
            return new NextStep.GiveUp(FailureCause.REGIONS, RequestRegions.reason(requirements.regions()), retryAfter);
        }
        HeldBackTargets heldBack = targets.heldBack(requirements);
        if (heldBack.hasKnownReleaseTime()) {
            retryAfter = RetryAfter.forHeldBackTargets(heldBack.earliestReleaseMillis(), random);
        }
        String reason = heldBack.isEmpty() ? "no target left" : "no target left but " + heldBack;
        return new NextStep.GiveUp(FailureCause.NO_TARGET, reason, retryAfter);
    }

    /** Returns the otherwise eligible targets that are held back, not null. */
    public HeldBackTargets heldBackTargets(RequestProgress request) {
        return targets.heldBack(requirements(request));
    }

    /** Returns true if the configuration in force still allows a request to be sent to the target chosen for it. */
    public boolean maySendTo(RequestProgress request, TargetState target) {
        return targets.isInRegions(target, RequestRegions.of(request, configuration));
    }

    /** Returns another target for a request that failed, empty if the failure is returned to the caller. */
    public Optional<NextStep.Send> retryAfterFailure(RequestProgress request) {
        boolean repeatable = request.route().kind().isRetryable();
        if (!repeatable
                || !canRetryElsewhere(request)
                || !retryBudget(request.service()).tryRetry()) {
            return Optional.empty();
        }
        return choose(request).map(candidate -> send(request, candidate));
    }

    /** Returns true if a target, time and an attempt are left for a request. */
    public boolean canRetryElsewhere(RequestProgress request) {
        return retryObstacle(request).isEmpty();
    }

    /** Returns why a request cannot be retried at another target, empty if a target, time and an attempt are left. */
    public Optional<FailureCause> retryObstacle(RequestProgress request) {
        if (!hasAttemptLeft(request) && !mayRunAgain(request)) {
            return Optional.of(FailureCause.ATTEMPTS);
        }
        if (isDeadlineReached(request)) {
            return Optional.of(FailureCause.DEADLINE);
        }
        Optional<Candidate> candidate = choose(request);
        boolean available = candidate.isPresent()
                && !(request.hasBegun() && candidate.get().target().isBrieflyUnavailable(clock.millis()));
        if (available) {
            return Optional.empty();
        }
        boolean limitedByRegions = targets.isLimitedByRegions(requirements(request));
        return Optional.of(limitedByRegions ? FailureCause.REGIONS : FailureCause.NO_TARGET);
    }

    /**
     * Returns true if a further target may run a request. Each send counts while the caller can still be told to retry.
     * A begun stream would be lost, so rejections and repeated runs at the same target do not count for it.
     */
    private static boolean hasAttemptLeft(RequestProgress request) {
        int attempts = request.hasBegun()
                ? request.runTargets().size() + Math.max(0, request.rejections() - MAX_UNCOUNTED_REJECTIONS)
                : request.sends();
        return attempts < request.route().maximumAttempts();
    }

    /** Returns true if a target that broke a begun stream off may take it up again with newer weights. */
    private boolean mayRunAgain(RequestProgress request) {
        if (!request.hasBegun() || request.service().weights() == null) {
            return false;
        }
        int newest = versionDeadlines(request.service()).newestVersion();
        Map<String, Integer> versions = request.triedVersions();
        return request.runTargets().stream().anyMatch(id -> targets.contains(id) && versions.get(id) < newest);
    }

    /** Returns the targets that must not get a request; for a begun stream, tried ones may have changed weights since. */
    private Set<String> excluded(RequestProgress request) {
        if (!request.hasBegun()) {
            return request.triedTargets();
        }
        Set<String> excluded = targets.withoutNewerWeights(request.triedVersions());
        if (hasAttemptLeft(request)) {
            return excluded;
        }
        Set<String> repeatable = new HashSet<>(request.runTargets());
        repeatable.removeAll(excluded);
        return targets.othersThan(repeatable);
    }

    /** Returns true if the deadline of a request has passed or is about to. */
    public boolean isDeadlineReached(RequestProgress request) {
        return request.deadlineMillis() - clock.millis() < MIN_REMAINING_MILLIS;
    }

    private static NextStep giveUp(FailureCause cause, String reason) {
        return new NextStep.GiveUp(cause, reason, RetryAfter.OTHER_GATEWAY_MILLIS);
    }

    private NextStep.Send send(RequestProgress request, Candidate candidate) {
        request.targetChosen(
                candidate.target().sighting().id(), candidate.target().heldVersion());
        return new NextStep.Send(candidate);
    }

    private Optional<Candidate> choose(RequestProgress request) {
        return targets.choose(requirements(request));
    }

    private Requirements requirements(RequestProgress request) {
        Service service = request.service();
        return new Requirements(
                service,
                minVersion(service),
                versionDeadlines(service),
                request.promptTokens(),
                request.route().objectiveMillis(),
                excluded(request),
                request.hasBegun() || request.sends() + 1 >= request.route().maximumAttempts(),
                RequestRegions.of(request, configuration));
    }

    private VersionDeadlines versionDeadlines(Service service) {
        return service.weights() == null
                ? VersionDeadlines.none()
                : versionDeadlines.computeIfAbsent(service.weights().model(), key -> VersionDeadlines.none());
    }

    private RetryBudget retryBudget(Service service) {
        return retryBudgets.computeIfAbsent(
                service.name(),
                key -> RetryBudget.of(
                        retryLimits.share() * EARNED_RETRY_SHARE, allowance(), retryLimits.windowMillis(), clock));
    }

    /** Returns this gateway's part of the shared retry allowance. */
    private int allowance() {
        return retryLimits.allowance() / maxGateways;
    }
}

package org.bankturn.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.AllowedRegions;
import org.bankturn.service.EngineModel;
import org.bankturn.service.RegionMap;
import org.bankturn.time.Clock;

/**
 * The targets known to one gateway, and the selection of a target for each request.
 *
 * <p>Load pattern: dozens of gateways receive slightly outdated load reports of the same engines. If each selected the
 * best engine, all would select the same one and overload it. Each gateway therefore compares a small random sample of
 * the engines that it watches (power of choices with old information: Mitzenmacher 2000). Requests leave their data
 * hall only if its engines would not start them comfortably in time, since traffic between halls is expensive and links
 * are narrow.
 *
 * <p>TargetTable is mutable and not thread-safe.
 */
public final class TargetTable {
    /** The assumed response time of a plain service without observations. */
    private static final double PLAIN_SERVICE_MILLIS = 20;

    /** The maximum assumed delay of a path without recent reports. */
    private static final long MAX_PATH_DELAY_MILLIS = 1_500;

    /** The minimum assumed delay of a path on which a poll is unanswered. */
    private static final long UNANSWERED_POLL_MILLIS = 400;

    private final Clock clock;
    private final String dataHall;
    private final PlacementSettings settings;
    private final TargetEligibility eligibility;
    private final CandidateSelector selector;
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Map<String, List<TargetState>> byService = new HashMap<>();
    private final SlowStarts slowStarts;
    private final FlowControlCache flowControlCache;
    private final UnansweredPolls unansweredPolls;
    private final Map<String, SlowdownReports> slowdownReports = new HashMap<>();
    private Set<String> watched = Set.of();
    private List<TargetState> watchedStates = List.of();
    private final Set<TargetState> permitRequests = new LinkedHashSet<>();
    private Set<String> evacuatedHalls = Set.of();

    /** Returns an empty table of a gateway that knows no regions, not null. */
    public static TargetTable of(
            Clock clock, String dataHall, PlacementSettings settings, UniformRandomProvider random) {
        return of(clock, dataHall, RegionMap.NONE, settings, random);
    }

    /**
     * Returns an empty table, not null.
     *
     * @param clock the time, not null
     * @param dataHall the data hall of the gateway, not null
     * @param regions the region of each data hall, not null
     * @param settings the placement settings, not null
     * @param random the source of randomness, not null
     */
    public static TargetTable of(
            Clock clock, String dataHall, RegionMap regions, PlacementSettings settings, UniformRandomProvider random) {
        return new TargetTable(clock, dataHall, TargetEligibility.of(regions), settings, random);
    }

    private TargetTable(
            Clock clock,
            String dataHall,
            TargetEligibility eligibility,
            PlacementSettings settings,
            UniformRandomProvider random) {
        this.clock = clock;
        this.dataHall = dataHall;
        this.eligibility = eligibility;
        this.settings = settings;
        this.selector = new CandidateSelector(clock, settings, random);
        this.slowStarts = new SlowStarts(clock);
        this.flowControlCache = new FlowControlCache(slowStarts);
        this.unansweredPolls = UnansweredPolls.none(clock);
    }

    // ---- updates

    /** Replaces the known targets and returns the incarnations that were removed. */
    public Set<String> update(Collection<TargetSighting> sightings) {
        Set<String> removed = new HashSet<>(targets.keySet());
        for (TargetSighting sighting : sightings) {
            removed.remove(sighting.id());
            TargetState known = targets.get(sighting.id());
            if (known == null) {
                targets.put(
                        sighting.id(),
                        new TargetState(
                                sighting, flowControlCache.remove(sighting.id()), slowdownReports(sighting.service())));
            } else {
                known.update(sighting);
            }
        }
        removed.forEach(id -> flowControlCache.put(id, targets.remove(id).flowControl()));
        unansweredPolls.removeAll(removed);
        markEvacuated();
        byService.clear();
        targets.values()
                .forEach(state -> byService
                        .computeIfAbsent(state.sighting().service(), key -> new ArrayList<>())
                        .add(state));
        setWatched(watched);
        return removed;
    }

    /** Sets the data halls whose targets get no requests; the targets of released ones are cold. */
    public void setEvacuatedHalls(Set<String> halls) {
        Set<String> released = new HashSet<>(evacuatedHalls);
        released.removeAll(halls);
        evacuatedHalls = Set.copyOf(halls);
        markEvacuated();
        released.forEach(this::treatAsCold);
    }

    private void markEvacuated() {
        targets.values()
                .forEach(state -> state.setEvacuated(
                        evacuatedHalls.contains(state.sighting().dataHall())));
    }

    /** Returns the number of the gateway's own requests in flight at targets of a data hall. */
    public int inFlightInHall(String hall) {
        return targets.values().stream()
                .filter(state -> state.sighting().dataHall().equals(hall))
                .mapToInt(TargetState::inFlight)
                .sum();
    }

    /** Returns what is known for all cold targets, not null. */
    public SlowStarts slowStarts() {
        return slowStarts;
    }

    /** Treats the targets of a data hall as cold from now on, for the time that their service states. */
    public void treatAsCold(String coldHall) {
        targets.values().stream()
                .filter(state -> state.sighting().dataHall().equals(coldHall))
                .forEach(state -> state.flowControl().cold().assumeCold(ColdCause.RELEASED));
    }

    private SlowdownReports slowdownReports(String service) {
        return slowdownReports.computeIfAbsent(service, key -> SlowdownReports.none());
    }

    /** Sets the engines that the gateway polls; others are used only if none of these is available. */
    public void setWatched(Set<String> ids) {
        watched = Set.copyOf(ids);
        watchedStates =
                targets.values().stream().filter(state -> isWatched(state)).toList();
    }

    /** Applies a load report of a target's engine. */
    public void loadReported(String id, EngineLoad load, long ageMillis, long roundTripMillis) {
        TargetState state = targets.get(id);
        if (state != null) {
            state.loadReported(load, clock.millis() - roundTripMillis / 2 - ageMillis);
            state.roundTripMeasured(roundTripMillis);
            state.pollAnswered(clock.millis());
            unansweredPolls.pollAnswered(id);
        }
    }

    /** Records that a target's engine will interrupt running requests after the given time. */
    public void interruptionAnnounced(String id, long afterMillis) {
        TargetState state = targets.get(id);
        if (state != null) {
            state.interruptionAnnounced(clock.millis() + afterMillis);
        }
    }

    /** Records that a poll of a target's engine was not answered within the given time. */
    public void pollFailed(String id, long waitedMillis) {
        recordUnanswered(id, clock.millis() - waitedMillis, Math.max(UNANSWERED_POLL_MILLIS, waitedMillis));
    }

    /** Records that a poll of a target's engine is unanswered for longer than a request should wait. */
    public void pollOverdue(String id, long sentMillis) {
        recordUnanswered(id, sentMillis, UNANSWERED_POLL_MILLIS);
    }

    private void recordUnanswered(String id, long sentMillis, long waitedMillis) {
        TargetState state = targets.get(id);
        if (state != null && !state.hasAnsweredPollSince(sentMillis)) {
            unansweredPolls.pollUnanswered(id, sentMillis, waitedMillis);
        }
    }

    /** Returns the number of the gateway's own requests in flight at engines. */
    public int inFlightAtEngines() {
        return targets.values().stream()
                .filter(state -> state.sighting().heldVersion() >= 0)
                .mapToInt(TargetState::inFlight)
                .sum();
    }

    // ---- selection

    /**
     * Returns the engines to poll before a request is placed, none if enough load reports are fresh.
     *
     * @param requirements the requirements of the request, not null
     * @param remote true for engines of other data halls
     */
    public List<String> targetsToPoll(Requirements requirements, boolean remote) {
        if (settings.polledBeforePlacement() == 0 || requirements.service().engine() == null) {
            return List.of();
        }
        long now = clock.millis();
        Candidates candidates = candidates(requirements, now, false);
        List<Candidate> pool = remote ? candidates.remote : candidates.local;
        int fresh = (int) pool.stream()
                .filter(candidate -> candidate.target().loadAgeMillis(now) <= settings.maxFreshAgeMillis())
                .count();
        List<Candidate> stale = new ArrayList<>(pool);
        stale.removeIf(candidate -> candidate.target().loadAgeMillis(now) <= settings.maxFreshAgeMillis());
        selector.sampleToFront(stale, settings.polledBeforePlacement() - fresh);
        return stale.stream()
                .limit(Math.max(0, settings.polledBeforePlacement() - fresh))
                .map(candidate -> candidate.target().sighting().id())
                .toList();
    }

    /**
     * Returns the engines to poll for a stream that waits for a target: those that were last seen changing weights.
     *
     * @param requirements the requirements of the request, not null
     */
    List<String> changingTargetsToPoll(Requirements requirements) {
        long now = clock.millis();
        return candidates(requirements, now, false).avoided.stream()
                .map(Candidate::target)
                .filter(state -> state.isChangingWeights(now))
                .filter(state -> state.loadAgeMillis(now) > settings.maxFreshAgeMillis())
                .limit(settings.polledBeforePlacement())
                .map(state -> state.sighting().id())
                .toList();
    }

    /** Returns the given targets that hold no newer version than the given one, not null. */
    Set<String> withoutNewerWeights(Map<String, Integer> versions) {
        Set<String> same = new HashSet<>();
        versions.forEach((id, version) -> {
            TargetState state = targets.get(id);
            if (state == null || state.heldVersion() <= version) {
                same.add(id);
            }
        });
        return same;
    }

    /** Returns true if the target is known. */
    boolean contains(String id) {
        return targets.containsKey(id);
    }

    /** Returns the known targets other than the given ones, not null. */
    Set<String> othersThan(Set<String> ids) {
        Set<String> others = new HashSet<>(targets.keySet());
        others.removeAll(ids);
        return others;
    }

    /**
     * Returns the sampled target with the lowest cost; an avoided one only if there is no other, a held-back one never.
     */
    public Optional<Candidate> choose(Requirements requirements) {
        Candidates candidates = candidates(requirements, clock.millis(), true);
        Optional<Candidate> candidate = selector.best(candidates, requirements);
        requestPermits(candidates.heldBackLocal);
        if (candidate.isEmpty() || !staysLocal(candidate.get(), requirements)) {
            requestPermits(candidates.heldBackRemote);
        }
        return candidate;
    }

    private void requestPermits(List<TargetState> heldBack) {
        long now = clock.millis();
        heldBack.stream().filter(state -> state.needsPermit(now)).forEach(permitRequests::add);
    }

    /** Returns and clears the targets for which a permit should be requested, not null. */
    public List<TargetState> drainPermitRequests() {
        if (permitRequests.isEmpty()) {
            return List.of();
        }
        List<TargetState> requested = List.copyOf(permitRequests);
        permitRequests.clear();
        return requested;
    }

    /** Returns the otherwise eligible targets that are held back, not null. */
    public HeldBackTargets heldBack(Requirements requirements) {
        long now = clock.millis();
        HeldBackTargets heldBack = new HeldBackTargets();
        ofService(requirements)
                .filter(state -> eligibility.isEligible(state, requirements))
                .forEach(state ->
                        state.heldBack(now).ifPresent(reason -> heldBack.add(reason, state.untilReleaseMillis(now))));
        return heldBack;
    }

    /** Returns an eligible target for which a permit may become available within a time, not null. */
    Optional<TargetState> targetWithPermitWithin(long millis, Requirements requirements) {
        long now = clock.millis();
        return ofService(requirements)
                .filter(state -> eligibility.isEligible(state, requirements))
                .filter(state -> state.mayGetPermitWithin(millis, now))
                .min(Comparator.comparing((TargetState state) -> !isLocal(state))
                        .thenComparing(state -> state.untilReleaseMillis(now)));
    }

    /** Returns true if no target is eligible for a request, and one would be if it were in another region. */
    boolean isLimitedByRegions(Requirements requirements) {
        return ofService(requirements).noneMatch(state -> eligibility.isEligible(state, requirements))
                && ofService(requirements).anyMatch(state -> eligibility.isExcludedByRegion(state, requirements));
    }

    /** Returns true if a target is in one of the given regions. */
    boolean isInRegions(TargetState target, AllowedRegions regions) {
        return eligibility.isInRegions(target, regions);
    }

    private Stream<TargetState> ofService(Requirements requirements) {
        return byService.getOrDefault(requirements.service().name(), List.of()).stream();
    }

    /** Returns the number of targets held back for each reason, not null. */
    public Map<HoldReason, Integer> heldBackCounts() {
        long now = clock.millis();
        Map<HoldReason, Integer> counts = new EnumMap<>(HoldReason.class);
        targets.values()
                .forEach(state -> state.heldBack(now).ifPresent(reason -> counts.merge(reason, 1, Integer::sum)));
        return counts;
    }

    /** Returns the number of engines whose events recently arrived slowly. */
    public int slowEngines() {
        long now = clock.millis();
        return (int)
                targets.values().stream().filter(state -> state.isSlow(now)).count();
    }

    /** Returns true if a target is held back, so that its slots do not count. */
    public boolean isHeldBack(String id) {
        TargetState state = targets.get(id);
        return state != null && state.heldBack(clock.millis()).isPresent();
    }

    /**
     * Classifies the watched engines, and all others only if none of these is available.
     *
     * @param forSending true if the request would be sent now, so that the uncertainty of a path counts
     */
    private Candidates candidates(Requirements requirements, long now, boolean forSending) {
        Candidates candidates = new Candidates();
        if (requirements.service().engine() == null) {
            ofService(requirements).forEach(state -> classify(state, requirements, now, forSending, candidates));
            return candidates;
        }
        watchedStates.forEach(state -> classify(state, requirements, now, forSending, candidates));
        if (candidates.local.isEmpty() && candidates.remote.isEmpty()) {
            ofService(requirements)
                    .filter(state -> !isWatched(state))
                    .forEach(state -> classify(state, requirements, now, forSending, candidates));
        }
        if (requirements.lastAttempt() && settings.avoidsInterruptions()) {
            candidates.retainIfAny(candidate -> candidate.completesLastAttempt(requirements, now));
        }
        return candidates;
    }

    private void classify(
            TargetState state, Requirements requirements, long now, boolean forSending, Candidates candidates) {
        if (!eligibility.isEligible(state, requirements)) {
            return;
        }
        if (state.heldBack(now).isPresent()) {
            (isLocal(state) ? candidates.heldBackLocal : candidates.heldBackRemote).add(state);
            return;
        }
        // without the correlation, polls that no engine answers would reject most requests
        long roundTrip = Math.max(
                state.roundTripMillis(),
                unansweredPolls.penaltyMillis(state.sighting().id()));
        double predicted = predictedMillis(state, requirements, now) + roundTrip;
        Candidate candidate =
                new Candidate(state, predicted, roundTrip, interruptionMillis(state, requirements, now, predicted));
        double uncertaintyMillis = forSending ? pathUncertaintyMillis(state, requirements, now) : 0;
        if (!requirements
                .deadlines()
                .canStartInTime(state.heldVersion(), now, candidate.predictedMillis() + uncertaintyMillis)) {
            return;
        }
        boolean preferred = requirements.service().engine() == null || isWatched(state);
        if (state.isAvoided(now) || state.isChangingWeights(now)) {
            candidates.avoided.add(candidate);
        } else if (!preferred) {
            candidates.unwatched.add(candidate);
        } else if (isLocal(state)) {
            candidates.local.add(candidate);
        } else {
            candidates.remote.add(candidate);
        }
    }

    private double interruptionMillis(TargetState state, Requirements requirements, long now, double predicted) {
        EngineModel engine = requirements.service().engine();
        if (engine == null || !settings.avoidsInterruptions()) {
            return 0;
        }
        return InterruptionCost.millis(
                engine, state.untilInterruptionMillis(now), predicted, requirements.objectiveMillis());
    }

    /** Returns the maximum assumed increase in path delay since the last load report. */
    private static double pathUncertaintyMillis(TargetState state, Requirements requirements, long now) {
        boolean hasNews = requirements.service().engine() != null;
        return hasNews ? Math.min(MAX_PATH_DELAY_MILLIS, state.loadAgeMillis(now)) : 0;
    }

    /** Returns true if the target is local and starts the request within the local share of the objective. */
    public boolean staysLocal(Candidate candidate, Requirements requirements) {
        return isLocal(candidate.target()) && selector.startsWithinLocalShare(candidate, requirements);
    }

    private boolean isLocal(TargetState state) {
        return state.sighting().dataHall().equals(dataHall);
    }

    private boolean isWatched(TargetState state) {
        return watched.contains(state.sighting().id());
    }

    /** Returns the predicted time to the first event, without the round trip. */
    private static double predictedMillis(TargetState state, Requirements requirements, long now) {
        EngineModel engine = requirements.service().engine();
        if (engine == null) {
            return (state.inFlight() + 1) * PLAIN_SERVICE_MILLIS * state.latencyRatio();
        }
        EngineLoad load = state.load(now);
        int sentSince = load == null ? state.inFlight() : state.sentSinceLoad() - state.endedSinceLoad();
        EngineLoad assumed = state.assumedLoad(engine, now);
        return FirstEventEstimate.of(engine)
                        .millis(assumed, sentSince, state.pendingPromptTokens(), requirements.promptTokens())
                * Math.max(1, state.latencyRatio());
    }
}

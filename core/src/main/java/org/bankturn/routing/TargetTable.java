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
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.EngineModel;
import org.bankturn.service.Service;
import org.bankturn.time.Clock;

/**
 * The targets that one gateway knows, and which of them takes the next request.
 *
 * <p>Load pattern: dozens of gateways that hear of the same engines some tenths of a second late. Each that takes the best
 * of all takes the same one, which fills up while others are idle; so each compares a few that it draws at random among
 * those it watches (power of choices with old information: Mitzenmacher 2000). Requests leave their data hall only where
 * its engines would not begin them comfortably in time, since bytes between halls are dear and links are narrow.
 *
 * <p>TargetTable is mutable and not thread-safe.
 */
public final class TargetTable {
    /** How long a plain service takes for a request until something better is known. */
    private static final double PLAIN_SERVICE_MILLIS = 20;

    /** A path of which nothing was heard for long may have become that slow, as a squeezed link does. */
    private static final long MAX_PATH_DELAY_MILLIS = 1_500;

    /** A path on which nothing was heard is taken to be that slow at least. */
    private static final long UNANSWERED_POLL_MILLIS = 400;

    private final Clock clock;
    private final String dataHall;
    private final PlacementSettings settings;
    private final CandidateSelector selector;
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Map<String, List<TargetState>> byService = new HashMap<>();
    private final FlowControlCache flowControlCache = new FlowControlCache();
    private final UnansweredPolls unansweredPolls;
    private Set<String> watched = Set.of();
    private List<TargetState> watchedStates = List.of();
    private final Set<TargetState> permitRequests = new LinkedHashSet<>();

    /**
     * What a target must be to take a request.
     *
     * @param service the service, not null
     * @param minVersion the version of the weights that it must hold, 0 for any, -1 if the service holds none
     * @param deadlines when requests must begin on newer weights, not null
     * @param promptTokens the size of its prompt
     * @param objectiveMillis the time within which its first answer is in time
     * @param excluded the incarnations that were tried, not null
     */
    public record Requirements(
            Service service,
            int minVersion,
            VersionDeadlines deadlines,
            int promptTokens,
            long objectiveMillis,
            Set<String> excluded) {}

    /**
     * A target and what is predicted there.
     *
     * @param target the target, not null
     * @param predictedMillis the time until the first event
     * @param roundTripMillis the part of it that is the way there and back
     * @param interruptionMillis what counts beside it, because the target will soon break off what it runs
     */
    public record Candidate(
            TargetState target, double predictedMillis, long roundTripMillis, double interruptionMillis) {
        /** Returns what is compared, in milliseconds. */
        double costMillis() {
            return predictedMillis + interruptionMillis;
        }
    }

    /**
     * Returns an empty table, not null.
     *
     * @param clock the time, not null
     * @param dataHall the data hall of the gateway, not null
     * @param settings how targets are compared, not null
     * @param random random numbers, not null
     */
    public static TargetTable of(
            Clock clock, String dataHall, PlacementSettings settings, UniformRandomProvider random) {
        return new TargetTable(clock, dataHall, settings, random);
    }

    private TargetTable(Clock clock, String dataHall, PlacementSettings settings, UniformRandomProvider random) {
        this.clock = clock;
        this.dataHall = dataHall;
        this.settings = settings;
        this.selector = new CandidateSelector(clock, settings, random);
        this.unansweredPolls = UnansweredPolls.none(clock);
    }

    // ---- what is known

    /** Takes in the targets that are there now, and returns the incarnations that are no longer. */
    public Set<String> update(Collection<TargetSighting> sightings) {
        Set<String> removed = new HashSet<>(targets.keySet());
        for (TargetSighting sighting : sightings) {
            removed.remove(sighting.id());
            TargetState known = targets.get(sighting.id());
            if (known == null) {
                targets.put(sighting.id(), new TargetState(sighting, flowControlCache.remove(sighting.id())));
            } else {
                known.update(sighting);
            }
        }
        removed.forEach(id -> flowControlCache.put(id, targets.remove(id).flowControl()));
        unansweredPolls.removeAll(removed);
        byService.clear();
        targets.values()
                .forEach(state -> byService
                        .computeIfAbsent(state.sighting().service(), key -> new ArrayList<>())
                        .add(state));
        setWatched(watched);
        return removed;
    }

    /** Takes in which engines the gateway asks for their load; others are used only where these would be late. */
    public void setWatched(Set<String> ids) {
        watched = Set.copyOf(ids);
        watchedStates =
                targets.values().stream().filter(state -> isWatched(state)).toList();
    }

    /** Takes in what a target's engine said of its load. */
    public void loadReported(String id, EngineLoad load, long ageMillis, long roundTripMillis) {
        TargetState state = targets.get(id);
        if (state != null) {
            state.loadReported(load, clock.millis() - roundTripMillis / 2 - ageMillis);
            state.roundTripMeasured(roundTripMillis);
            state.pollAnswered(clock.millis());
            unansweredPolls.pollAnswered(id);
        }
    }

    /** Takes in that a target's engine breaks off what it runs after a while, counted from now. */
    public void interruptionAnnounced(String id, long afterMillis) {
        TargetState state = targets.get(id);
        if (state != null) {
            state.interruptionAnnounced(clock.millis() + afterMillis);
        }
    }

    /** Takes in that nothing was heard of a target's engine for a while. */
    public void pollFailed(String id, long waitedMillis) {
        recordUnanswered(id, clock.millis() - waitedMillis, Math.max(UNANSWERED_POLL_MILLIS, waitedMillis));
    }

    /** Takes in that a question to a target's engine, asked at a moment, is still open longer than a request should wait. */
    public void pollOverdue(String id, long sentMillis) {
        recordUnanswered(id, sentMillis, UNANSWERED_POLL_MILLIS);
    }

    private void recordUnanswered(String id, long sentMillis, long waitedMillis) {
        TargetState state = targets.get(id);
        if (state != null && !state.hasAnsweredPollSince(sentMillis)) {
            unansweredPolls.pollUnanswered(id, sentMillis, waitedMillis);
        }
    }

    /** Returns the gateway's own requests under way at engines. */
    public int inFlightAtEngines() {
        return targets.values().stream()
                .filter(state -> state.sighting().heldVersion() >= 0)
                .mapToInt(TargetState::inFlight)
                .sum();
    }

    // ---- choosing

    /**
     * Returns the engines to ask for their load before a request is placed, none if their news is fresh.
     *
     * @param requirements what a target must be, not null
     * @param remote true to ask in other data halls
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
     * Returns the target that is likely to begin first of those compared; one that is avoided only if there is no other, one
     * that is held back never.
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

    /** Returns the targets for which requests could have used a permit since this was last asked, not null. */
    public List<TargetState> drainPermitRequests() {
        if (permitRequests.isEmpty()) {
            return List.of();
        }
        List<TargetState> requested = List.copyOf(permitRequests);
        permitRequests.clear();
        return requested;
    }

    /** Returns the targets that could run a request and must not get it now, not null. */
    public HeldBackTargets heldBack(Requirements requirements) {
        long now = clock.millis();
        HeldBackTargets heldBack = new HeldBackTargets();
        for (TargetState state : byService.getOrDefault(requirements.service().name(), List.of())) {
            if (isEligible(state, requirements)) {
                state.heldBack(now).ifPresent(reason -> heldBack.add(reason, state.untilReleaseMillis(now)));
            }
        }
        return heldBack;
    }

    /** Returns a target that a request could be sent to within a time, if a permit comes, not null. */
    Optional<TargetState> targetWithPermitWithin(long millis, Requirements requirements) {
        long now = clock.millis();
        return byService.getOrDefault(requirements.service().name(), List.of()).stream()
                .filter(state -> isEligible(state, requirements) && state.mayGetPermitWithin(millis, now))
                .min(Comparator.comparing((TargetState state) -> !isLocal(state))
                        .thenComparing(state -> state.untilReleaseMillis(now)));
    }

    /** Returns how many targets are held back now, for each reason, not null. */
    public Map<HoldReason, Integer> heldBackCounts() {
        long now = clock.millis();
        Map<HoldReason, Integer> counts = new EnumMap<>(HoldReason.class);
        targets.values()
                .forEach(state -> state.heldBack(now).ifPresent(reason -> counts.merge(reason, 1, Integer::sum)));
        return counts;
    }

    /** Returns true if a target must get no request from this gateway now, so that its places are none. */
    public boolean isHeldBack(String id) {
        TargetState state = targets.get(id);
        return state != null && state.heldBack(clock.millis()).isPresent();
    }

    /**
     * Looks at the engines that are watched, and at all others only if none of these may take the request.
     *
     * @param forSending true if the request would be sent now, so that what is not known of a path counts
     */
    private Candidates candidates(Requirements requirements, long now, boolean forSending) {
        Candidates candidates = new Candidates();
        List<TargetState> ofService =
                byService.getOrDefault(requirements.service().name(), List.of());
        if (requirements.service().engine() == null) {
            ofService.forEach(state -> classify(state, requirements, now, forSending, candidates));
            return candidates;
        }
        watchedStates.forEach(state -> classify(state, requirements, now, forSending, candidates));
        if (candidates.local.isEmpty() && candidates.remote.isEmpty()) {
            ofService.stream()
                    .filter(state -> !isWatched(state))
                    .forEach(state -> classify(state, requirements, now, forSending, candidates));
        }
        return candidates;
    }

    private void classify(
            TargetState state, Requirements requirements, long now, boolean forSending, Candidates candidates) {
        if (!isEligible(state, requirements)) {
            return;
        }
        if (state.heldBack(now).isPresent()) {
            (isLocal(state) ? candidates.heldBackLocal : candidates.heldBackRemote).add(state);
            return;
        }
        // counted one by one, questions that no engine answers would have most requests refused
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

    /** Returns by how much the path may have become slower since it was last used, at most. */
    private static double pathUncertaintyMillis(TargetState state, Requirements requirements, long now) {
        boolean hasNews = requirements.service().engine() != null;
        return hasNews ? Math.min(MAX_PATH_DELAY_MILLIS, state.loadAgeMillis(now)) : 0;
    }

    /** Returns true if the target is in the own data hall and a request begins comfortably in time there. */
    public boolean staysLocal(Candidate candidate, Requirements requirements) {
        return isLocal(candidate.target()) && selector.startsWithinLocalShare(candidate, requirements);
    }

    private boolean isLocal(TargetState state) {
        return state.sighting().dataHall().equals(dataHall);
    }

    private boolean isWatched(TargetState state) {
        return watched.contains(state.sighting().id());
    }

    private static boolean isEligible(TargetState state, Requirements requirements) {
        TargetSighting sighting = state.sighting();
        boolean hasWeights =
                requirements.minVersion() < 0 || state.heldVersion() >= Math.max(1, requirements.minVersion());
        return sighting.service().equals(requirements.service().name())
                && !sighting.draining()
                && hasWeights
                && !requirements.excluded().contains(sighting.id());
    }

    /** Returns how long a request would wait there for its first event, the way aside, as far as is known here. */
    private static double predictedMillis(TargetState state, Requirements requirements, long now) {
        EngineModel engine = requirements.service().engine();
        if (engine == null) {
            return (state.inFlight() + 1) * PLAIN_SERVICE_MILLIS * state.latencyRatio();
        }
        EngineLoad load = state.load(now);
        int sentSince = load == null ? state.inFlight() : state.sentSinceLoad() - state.endedSinceLoad();
        EngineLoad assumed = load == null ? EngineLoad.NONE : load;
        return FirstEventEstimate.of(engine)
                        .millis(assumed, sentSince, state.pendingPromptTokens(), requirements.promptTokens())
                * Math.max(1, state.latencyRatio());
    }
}

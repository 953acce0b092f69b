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
    private static final double PLAIN_MILLIS = 20;

    /** A path of which nothing was heard for long may have become that slow, as a squeezed link does. */
    private static final long MOST_PATH_MILLIS = 1_500;

    /** A path on which nothing was heard is taken to be that slow at least. */
    private static final long UNHEARD_MILLIS = 400;

    private final Clock clock;
    private final String dataHall;
    private final PlacementSettings settings;
    private final CandidateSelector comparison;
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Map<String, List<TargetState>> byService = new HashMap<>();
    private final FlowControlCache remembered = new FlowControlCache();
    private final UnansweredPolls openQuestions;
    private Set<String> watched = Set.of();
    private List<TargetState> watchedStates = List.of();
    private final Set<TargetState> permitsWanted = new LinkedHashSet<>();

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
        this.comparison = new CandidateSelector(clock, settings, random);
        this.openQuestions = UnansweredPolls.none(clock);
    }

    // ---- what is known

    /** Takes in the targets that are there now, and returns the incarnations that are no longer. */
    public Set<String> update(Collection<TargetSighting> sightings) {
        Set<String> gone = new HashSet<>(targets.keySet());
        for (TargetSighting sighting : sightings) {
            gone.remove(sighting.id());
            TargetState known = targets.get(sighting.id());
            if (known == null) {
                targets.put(sighting.id(), new TargetState(sighting, remembered.remove(sighting.id())));
            } else {
                known.update(sighting);
            }
        }
        gone.forEach(id -> remembered.put(id, targets.remove(id).flowControl()));
        openQuestions.removeAll(gone);
        byService.clear();
        targets.values()
                .forEach(state -> byService
                        .computeIfAbsent(state.sighting().service(), key -> new ArrayList<>())
                        .add(state));
        setWatched(watched);
        return gone;
    }

    /** Takes in which engines the gateway asks for their load; others are used only where these would be late. */
    public void setWatched(Set<String> ids) {
        watched = Set.copyOf(ids);
        watchedStates =
                targets.values().stream().filter(state -> isWatched(state)).toList();
    }

    /** Takes in what a target's engine said of its load. */
    public void loadReported(String id, EngineLoad load, long ageMillis, long tookMillis) {
        TargetState state = targets.get(id);
        if (state != null) {
            state.loadReported(load, clock.millis() - tookMillis / 2 - ageMillis);
            state.roundTripMeasured(tookMillis);
            state.pollAnswered(clock.millis());
            openQuestions.pollAnswered(id);
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
    public void pollFailed(String id, long tookMillis) {
        stayedOpen(id, clock.millis() - tookMillis, Math.max(UNHEARD_MILLIS, tookMillis));
    }

    /** Takes in that a question to a target's engine, asked at a moment, is still open longer than a request should wait. */
    public void pollOverdue(String id, long askedMillis) {
        stayedOpen(id, askedMillis, UNHEARD_MILLIS);
    }

    private void stayedOpen(String id, long askedMillis, long openMillis) {
        TargetState state = targets.get(id);
        if (state != null && !state.hasAnsweredPollSince(askedMillis)) {
            openQuestions.pollUnanswered(id, askedMillis, openMillis);
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
     * @param wanted what a target must be, not null
     * @param elsewhere true to ask in other data halls
     */
    public List<String> targetsToPoll(Requirements wanted, boolean elsewhere) {
        if (settings.polledBeforePlacement() == 0 || wanted.service().engine() == null) {
            return List.of();
        }
        long now = clock.millis();
        Candidates candidates = candidates(wanted, now, false);
        List<Candidate> pool = elsewhere ? candidates.remote : candidates.local;
        int fresh = (int) pool.stream()
                .filter(choice -> choice.target().loadAgeMillis(now) <= settings.maxFreshAgeMillis())
                .count();
        List<Candidate> stale = new ArrayList<>(pool);
        stale.removeIf(choice -> choice.target().loadAgeMillis(now) <= settings.maxFreshAgeMillis());
        comparison.sampleToFront(stale, settings.polledBeforePlacement() - fresh);
        return stale.stream()
                .limit(Math.max(0, settings.polledBeforePlacement() - fresh))
                .map(choice -> choice.target().sighting().id())
                .toList();
    }

    /**
     * Returns the target that is likely to begin first of those compared; one that is avoided only if there is no other, one
     * that is held back never.
     */
    public Optional<Candidate> choose(Requirements wanted) {
        Candidates candidates = candidates(wanted, clock.millis(), true);
        Optional<Candidate> choice = comparison.best(candidates, wanted);
        wantPermits(candidates.heldBackLocal);
        if (choice.isEmpty() || !staysLocal(choice.get(), wanted)) {
            wantPermits(candidates.heldBackRemote);
        }
        return choice;
    }

    private void wantPermits(List<TargetState> heldBack) {
        long now = clock.millis();
        heldBack.stream().filter(state -> state.needsPermit(now)).forEach(permitsWanted::add);
    }

    /** Returns the targets for which requests could have used a permit since this was last asked, not null. */
    public List<TargetState> drainPermitRequests() {
        if (permitsWanted.isEmpty()) {
            return List.of();
        }
        List<TargetState> wanted = List.copyOf(permitsWanted);
        permitsWanted.clear();
        return wanted;
    }

    /** Returns the targets that could run a request and must not get it now, not null. */
    public HeldBackTargets heldBack(Requirements wanted) {
        long now = clock.millis();
        HeldBackTargets heldBack = new HeldBackTargets();
        for (TargetState state : byService.getOrDefault(wanted.service().name(), List.of())) {
            if (mayTake(state, wanted)) {
                state.heldBack(now).ifPresent(reason -> heldBack.add(reason, state.untilReleaseMillis(now)));
            }
        }
        return heldBack;
    }

    /** Returns a target that a request could be sent to within a time, if a permit comes, not null. */
    Optional<TargetState> targetWithPermitWithin(long millis, Requirements wanted) {
        long now = clock.millis();
        return byService.getOrDefault(wanted.service().name(), List.of()).stream()
                .filter(state -> mayTake(state, wanted) && state.mayGetPermitWithin(millis, now))
                .min(Comparator.comparing((TargetState state) -> !isNear(state))
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
     * @param sends true if the request would be sent now, so that what is not known of a path counts
     */
    private Candidates candidates(Requirements wanted, long now, boolean sends) {
        Candidates candidates = new Candidates();
        List<TargetState> ofService = byService.getOrDefault(wanted.service().name(), List.of());
        if (wanted.service().engine() == null) {
            ofService.forEach(state -> consider(state, wanted, now, sends, candidates));
            return candidates;
        }
        watchedStates.forEach(state -> consider(state, wanted, now, sends, candidates));
        if (candidates.local.isEmpty() && candidates.remote.isEmpty()) {
            ofService.stream()
                    .filter(state -> !isWatched(state))
                    .forEach(state -> consider(state, wanted, now, sends, candidates));
        }
        return candidates;
    }

    private void consider(TargetState state, Requirements wanted, long now, boolean sends, Candidates candidates) {
        if (!mayTake(state, wanted)) {
            return;
        }
        if (state.heldBack(now).isPresent()) {
            (isNear(state) ? candidates.heldBackLocal : candidates.heldBackRemote).add(state);
            return;
        }
        // counted one by one, questions that no engine answers would have most requests refused
        long way = Math.max(
                state.roundTripMillis(),
                openQuestions.penaltyMillis(state.sighting().id()));
        double predicted = predictedMillis(state, wanted, now) + way;
        Candidate choice = new Candidate(state, predicted, way, breakOffMillis(state, wanted, now, predicted));
        double unknownMillis = sends ? unknownPathMillis(state, wanted, now) : 0;
        if (!wanted.deadlines().canStartInTime(state.heldVersion(), now, choice.predictedMillis() + unknownMillis)) {
            return;
        }
        boolean usual = wanted.service().engine() == null || isWatched(state);
        if (state.isAvoided(now) || state.isChangingWeights(now)) {
            candidates.avoided.add(choice);
        } else if (!usual) {
            candidates.unwatched.add(choice);
        } else if (isNear(state)) {
            candidates.local.add(choice);
        } else {
            candidates.remote.add(choice);
        }
    }

    private double breakOffMillis(TargetState state, Requirements wanted, long now, double predicted) {
        EngineModel engine = wanted.service().engine();
        if (engine == null || !settings.avoidsInterruptions()) {
            return 0;
        }
        return InterruptionCost.millis(engine, state.untilInterruptionMillis(now), predicted, wanted.objectiveMillis());
    }

    /** Returns by how much the path may have become slower since it was last used, at most. */
    private static double unknownPathMillis(TargetState state, Requirements wanted, long now) {
        boolean hasNews = wanted.service().engine() != null;
        return hasNews ? Math.min(MOST_PATH_MILLIS, state.loadAgeMillis(now)) : 0;
    }

    /** Returns true if the target is in the own data hall and a request begins comfortably in time there. */
    public boolean staysLocal(Candidate choice, Requirements wanted) {
        return isNear(choice.target()) && comparison.startsWithinLocalShare(choice, wanted);
    }

    private boolean isNear(TargetState state) {
        return state.sighting().dataHall().equals(dataHall);
    }

    private boolean isWatched(TargetState state) {
        return watched.contains(state.sighting().id());
    }

    private static boolean mayTake(TargetState state, Requirements wanted) {
        TargetSighting sighting = state.sighting();
        boolean holds = wanted.minVersion() < 0 || state.heldVersion() >= Math.max(1, wanted.minVersion());
        return sighting.service().equals(wanted.service().name())
                && !sighting.draining()
                && holds
                && !wanted.excluded().contains(sighting.id());
    }

    /** Returns how long a request would wait there for its first event, the way aside, as far as is known here. */
    private static double predictedMillis(TargetState state, Requirements wanted, long now) {
        EngineModel engine = wanted.service().engine();
        if (engine == null) {
            return (state.inFlight() + 1) * PLAIN_MILLIS * state.latencyRatio();
        }
        EngineLoad load = state.load(now);
        int sentSince = load == null ? state.inFlight() : state.sentSinceLoad() - state.endedSinceLoad();
        EngineLoad assumed = load == null ? EngineLoad.NONE : load;
        return FirstEventEstimate.of(engine)
                        .millis(assumed, sentSince, state.pendingPromptTokens(), wanted.promptTokens())
                * Math.max(1, state.latencyRatio());
    }
}

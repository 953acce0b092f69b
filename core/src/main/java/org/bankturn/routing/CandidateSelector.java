package org.bankturn.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.routing.TargetTable.Candidate;
import org.bankturn.routing.TargetTable.Requirements;
import org.bankturn.time.Clock;

/**
 * Compares the targets that may take a request.
 *
 * <p>ChoiceComparison is not thread-safe, as its random numbers are not.
 */
final class CandidateSelector {
    private final Clock clock;
    private final PlacementSettings settings;
    private final UniformRandomProvider random;

    /** A choice and its prediction as spread at random, in milliseconds. */
    private record Scored(Candidate candidate, double cost) {}

    CandidateSelector(Clock clock, PlacementSettings settings, UniformRandomProvider random) {
        this.clock = clock;
        this.settings = settings;
        this.random = random;
    }

    /** Returns the best of the candidates; one that is avoided only if there is no other. */
    Optional<Candidate> best(Candidates candidates, Requirements requirements) {
        return selectPermitted(candidates, requirements)
                .or(() -> selectFastest(candidates, requirements))
                .or(() -> lowestCost(candidates.avoided, Integer.MAX_VALUE).map(Scored::candidate));
    }

    /**
     * Returns a target of the own data hall for which there is a permit, if a request begins comfortably in time there. What it
     * offers would be lost otherwise, and the end of its limit would go unnoticed while others look a little better.
     */
    private Optional<Candidate> selectPermitted(Candidates candidates, Requirements requirements) {
        return candidates.local.stream()
                .filter(candidate -> candidate.target().rateLimit().inForce())
                .filter(candidate -> startsWithinLocalShare(candidate, requirements))
                .findAny();
    }

    private Optional<Candidate> selectFastest(Candidates candidates, Requirements requirements) {
        Optional<Scored> sampled = lowestCost(withFreshLoad(candidates.local), settings.sampleSize());
        if (sampled.isPresent() && startsWithinLocalShare(sampled.get().candidate(), requirements)) {
            return sampled.map(Scored::candidate);
        }
        Optional<Scored> local = lowestCost(candidates.local, Integer.MAX_VALUE);
        if (local.isPresent() && startsWithinLocalShare(local.get().candidate(), requirements)) {
            return local.map(Scored::candidate);
        }
        Optional<Scored> remote = lowestCost(withFreshLoad(candidates.remote), settings.sampleSize());
        boolean prefersRemote = local.isEmpty()
                || (remote.isPresent()
                        && remote.get().cost() + settings.remoteHallPenaltyMillis()
                                < local.get().cost());
        Optional<Scored> best = prefersRemote ? remote : local;
        return best.or(() -> lowestCost(candidates.unwatched, settings.sampleSize()))
                .map(Scored::candidate);
    }

    /** Returns true if a request begins early enough there to stay in its data hall whatever others offer. */
    boolean startsWithinLocalShare(Candidate candidate, Requirements requirements) {
        return candidate.costMillis() <= requirements.objectiveMillis() * settings.localObjectiveShare();
    }

    /** Returns those of which there is fresh news, all if there is of none. */
    private List<Candidate> withFreshLoad(List<Candidate> candidates) {
        long now = clock.millis();
        List<Candidate> fresh = new ArrayList<>(candidates);
        fresh.removeIf(candidate -> candidate.target().loadAgeMillis(now) > settings.maxFreshAgeMillis());
        return settings.polledBeforePlacement() == 0 || fresh.isEmpty() ? candidates : fresh;
    }

    /** Returns the least of some that are drawn, each prediction spread at random. */
    private Optional<Scored> lowestCost(List<Candidate> candidates, int sampleSize) {
        sampleToFront(candidates, sampleSize);
        Scored lowest = null;
        for (Candidate candidate : candidates.subList(0, Math.min(sampleSize, candidates.size()))) {
            double cost = candidate.costMillis() * (1 + settings.jitter() * random.nextDouble());
            if (lowest == null || cost < lowest.cost()) {
                lowest = new Scored(candidate, cost);
            }
        }
        return Optional.ofNullable(lowest);
    }

    /** Moves some that are drawn at random to the front. */
    void sampleToFront(List<Candidate> candidates, int sampleSize) {
        for (int index = 0; index < sampleSize && index < candidates.size() - 1; index++) {
            Collections.swap(candidates, index, index + random.nextInt(candidates.size() - index));
        }
    }
}

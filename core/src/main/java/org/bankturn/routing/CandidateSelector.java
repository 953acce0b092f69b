package org.bankturn.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.time.Clock;

/**
 * Selects the best candidate for a request.
 *
 * <p>CandidateSelector is not thread-safe because its source of randomness is not.
 */
final class CandidateSelector {
    private final Clock clock;
    private final PlacementSettings settings;
    private final UniformRandomProvider random;

    /** A candidate and its cost with random jitter, in milliseconds. */
    private record Scored(Candidate candidate, double cost) {}

    CandidateSelector(Clock clock, PlacementSettings settings, UniformRandomProvider random) {
        this.clock = clock;
        this.settings = settings;
        this.random = random;
    }

    /** Returns the best candidate; an avoided one only if there is no other. */
    Optional<Candidate> best(Candidates candidates, Requirements requirements) {
        return selectPermitted(candidates, requirements)
                .or(() -> selectFastest(candidates, requirements))
                .or(() -> lowestCost(candidates.avoided, Integer.MAX_VALUE).map(Scored::candidate));
    }

    /**
     * Returns a local target that a permit is held for, if it starts the request within the local share of the
     * objective. Using the permit avoids wasting it and reveals when the rate limit ends.
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

    /** Returns true if the request would start early enough to stay in its data hall. */
    boolean startsWithinLocalShare(Candidate candidate, Requirements requirements) {
        return candidate.costMillis() <= requirements.objectiveMillis() * settings.localObjectiveShare();
    }

    /** Returns the candidates whose load report is fresh, or all if there are none. */
    private List<Candidate> withFreshLoad(List<Candidate> candidates) {
        long now = clock.millis();
        List<Candidate> fresh = new ArrayList<>(candidates);
        fresh.removeIf(candidate -> candidate.target().loadAgeMillis(now) > settings.maxFreshAgeMillis());
        return settings.polledBeforePlacement() == 0 || fresh.isEmpty() ? candidates : fresh;
    }

    /** Returns the candidate with the lowest jittered cost in a random sample. */
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

    /** Moves a random sample of the candidates to the front of the list. */
    void sampleToFront(List<Candidate> candidates, int sampleSize) {
        for (int index = 0; index < sampleSize && index < candidates.size() - 1; index++) {
            Collections.swap(candidates, index, index + random.nextInt(candidates.size() - index));
        }
    }
}

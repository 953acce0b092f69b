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
    private record Weighed(Candidate choice, double cost) {}

    CandidateSelector(Clock clock, PlacementSettings settings, UniformRandomProvider random) {
        this.clock = clock;
        this.settings = settings;
        this.random = random;
    }

    /** Returns the best of the candidates; one that is avoided only if there is no other. */
    Optional<Candidate> best(Candidates candidates, Requirements wanted) {
        return withPermit(candidates, wanted)
                .or(() -> likelyFirst(candidates, wanted))
                .or(() -> leastOf(candidates.avoided, Integer.MAX_VALUE).map(Weighed::choice));
    }

    /**
     * Returns a target of the own data hall for which there is a permit, if a request begins comfortably in time there. What it
     * offers would be lost otherwise, and the end of its limit would go unnoticed while others look a little better.
     */
    private Optional<Candidate> withPermit(Candidates candidates, Requirements wanted) {
        return candidates.local.stream()
                .filter(choice -> choice.target().rateLimit().inForce())
                .filter(choice -> startsWithinLocalShare(choice, wanted))
                .findAny();
    }

    private Optional<Candidate> likelyFirst(Candidates candidates, Requirements wanted) {
        Optional<Weighed> drawn = leastOf(freshOf(candidates.local), settings.sampleSize());
        if (drawn.isPresent() && startsWithinLocalShare(drawn.get().choice(), wanted)) {
            return drawn.map(Weighed::choice);
        }
        Optional<Weighed> here = leastOf(candidates.local, Integer.MAX_VALUE);
        if (here.isPresent() && startsWithinLocalShare(here.get().choice(), wanted)) {
            return here.map(Weighed::choice);
        }
        Optional<Weighed> elsewhere = leastOf(freshOf(candidates.remote), settings.sampleSize());
        boolean goes = here.isEmpty()
                || (elsewhere.isPresent()
                        && elsewhere.get().cost() + settings.remoteHallPenaltyMillis()
                                < here.get().cost());
        Optional<Weighed> best = goes ? elsewhere : here;
        return best.or(() -> leastOf(candidates.unwatched, settings.sampleSize()))
                .map(Weighed::choice);
    }

    /** Returns true if a request begins early enough there to stay in its data hall whatever others offer. */
    boolean startsWithinLocalShare(Candidate choice, Requirements wanted) {
        return choice.costMillis() <= wanted.objectiveMillis() * settings.localObjectiveShare();
    }

    /** Returns those of which there is fresh news, all if there is of none. */
    private List<Candidate> freshOf(List<Candidate> choices) {
        long now = clock.millis();
        List<Candidate> fresh = new ArrayList<>(choices);
        fresh.removeIf(choice -> choice.target().loadAgeMillis(now) > settings.maxFreshAgeMillis());
        return settings.polledBeforePlacement() == 0 || fresh.isEmpty() ? choices : fresh;
    }

    /** Returns the least of some that are drawn, each prediction spread at random. */
    private Optional<Weighed> leastOf(List<Candidate> choices, int drawn) {
        sampleToFront(choices, drawn);
        Weighed least = null;
        for (Candidate choice : choices.subList(0, Math.min(drawn, choices.size()))) {
            double cost = choice.costMillis() * (1 + settings.jitter() * random.nextDouble());
            if (least == null || cost < least.cost()) {
                least = new Weighed(choice, cost);
            }
        }
        return Optional.ofNullable(least);
    }

    /** Moves some that are drawn at random to the front. */
    void sampleToFront(List<Candidate> choices, int drawn) {
        for (int index = 0; index < drawn && index < choices.size() - 1; index++) {
            Collections.swap(choices, index, index + random.nextInt(choices.size() - index));
        }
    }
}

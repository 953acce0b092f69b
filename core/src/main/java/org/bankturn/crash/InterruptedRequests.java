package org.bankturn.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * What broke off at which target, as one gateway saw it, until it is known whether the target ended.
 *
 * <p>A broken answer is not an ended target: connections are reset and answers cut by targets that live on. So what broke
 * off is held against nobody until the target's address refuses connections or another incarnation has it. InterruptedRequests is
 * mutable and not thread-safe.
 */
public final class InterruptedRequests {
    /** Another incarnation is there some seconds after a crash; a target that is silent is taken off within about ten. */
    private static final long REMEMBERED_MILLIS = 30_000;

    /** Requests remembered of one target: more than a gateway has under way there at its busiest. */
    private static final int MOST_RUNS = 64;

    private final Clock clock;
    private final Map<String, Runs> targets = new LinkedHashMap<>();

    private static final class Runs {
        private final Set<RequestFingerprint> requests = new LinkedHashSet<>();
        private final TargetSighting target;
        private final long brokeOffMillis;
        private boolean ended;
        private boolean livesOn;

        Runs(TargetSighting target, long brokeOffMillis) {
            this.target = target;
            this.brokeOffMillis = brokeOffMillis;
        }
    }

    /** Returns one to which nothing happened yet, not null. */
    public static InterruptedRequests of(Clock clock) {
        return new InterruptedRequests(clock);
    }

    private InterruptedRequests(Clock clock) {
        this.clock = clock;
    }

    // ---- queries

    /** Returns true if nothing broke off of late. */
    public boolean isEmpty() {
        forgetOld();
        return targets.isEmpty();
    }

    /**
     * Returns the targets at which something broke off and that another incarnation has succeeded, not null.
     *
     * @param present the targets that are there, not null
     */
    public List<String> findReplaced(Collection<TargetSighting> present) {
        return targets.values().stream()
                .filter(runs -> !runs.ended)
                .map(runs -> runs.target)
                .filter(target -> present.stream().anyMatch(each -> succeeds(each, target)))
                .map(TargetSighting::id)
                .toList();
    }

    private static boolean succeeds(TargetSighting present, TargetSighting former) {
        boolean sameAddress =
                present.address().equals(former.address()) && !present.id().equals(former.id());
        return sameAddress || present.isLaterStartOf(former);
    }

    /** Returns true if the target is known to have ended. */
    public boolean hasCrashed(String target) {
        Runs runs = targets.get(target);
        return runs != null && runs.ended;
    }

    /** Returns the targets at which a request broke off and of which it is still to be seen whether they ended, not null. */
    public List<String> findUndecided(RequestFingerprint request) {
        return targets.values().stream()
                .filter(runs -> !runs.ended && !runs.livesOn && runs.requests.contains(request))
                .map(runs -> runs.target.id())
                .toList();
    }

    // ---- what happens

    /** A request broke off at a target. */
    public void recordInterruption(TargetSighting target, RequestFingerprint request) {
        forgetOld();
        Runs runs = targets.computeIfAbsent(target.id(), key -> new Runs(target, clock.millis()));
        runs.livesOn = false;
        if (runs.requests.size() < MOST_RUNS) {
            runs.requests.add(request);
        }
    }

    /**
     * A target has ended.
     *
     * @return the requests that broke off there and that were not given out before, not null
     */
    public List<RequestFingerprint> recordCrash(String target) {
        Runs runs = targets.get(target);
        if (runs == null) {
            return List.of();
        }
        runs.ended = true;
        List<RequestFingerprint> given = new ArrayList<>(runs.requests);
        runs.requests.clear();
        return given;
    }

    /** A target still takes connections some time after something broke off. */
    public void markAlive(String target) {
        Runs runs = targets.get(target);
        if (runs != null) {
            runs.livesOn = true;
        }
    }

    /** Requests ran to their end, so what broke off before is not held against them. */
    public void recordCompletion(Collection<RequestFingerprint> requests) {
        targets.values().forEach(runs -> runs.requests.removeAll(requests));
    }

    private void forgetOld() {
        long oldest = clock.millis() - REMEMBERED_MILLIS;
        targets.values().removeIf(runs -> runs.brokeOffMillis < oldest);
    }
}

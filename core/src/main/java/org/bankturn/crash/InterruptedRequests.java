package org.bankturn.crash;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * The requests interrupted at each target, as one gateway observed them, until it is known whether the target crashed.
 *
 * <p>An interrupted response does not prove a crash, since a running target may reset connections and truncate
 * responses. Interruptions count against a request only once the target's address refuses connections or another
 * incarnation has it. InterruptedRequests is mutable and not thread-safe.
 */
public final class InterruptedRequests {
    /** Exceeds the time for a restart after a crash and the timeout of a target without heartbeats. */
    private static final long RETENTION_MILLIS = 30_000;

    /** The maximum number of requests kept per target; exceeds the number that one gateway has in flight there. */
    private static final int MAX_REQUESTS_PER_TARGET = 64;

    private final Clock clock;
    private final Map<String, Interruptions> targets = new LinkedHashMap<>();

    private static final class Interruptions {
        private final Map<RequestFingerprint, InterruptedRequest> requests = new LinkedHashMap<>();
        private final TargetSighting target;
        private final long firstMillis;
        private int count;
        private boolean crashed;
        private boolean alive;

        Interruptions(TargetSighting target, long firstMillis) {
            this.target = target;
            this.firstMillis = firstMillis;
        }
    }

    /** Returns an instance without any interruption, not null. */
    public static InterruptedRequests of(Clock clock) {
        return new InterruptedRequests(clock);
    }

    private InterruptedRequests(Clock clock) {
        this.clock = clock;
    }

    // ---- queries

    /** Returns true if there was no recent interruption. */
    public boolean isEmpty() {
        evictExpired();
        return targets.isEmpty();
    }

    /**
     * Returns the targets with interruptions that another incarnation has replaced, not null.
     *
     * @param present the registered targets, not null
     */
    public List<String> findReplaced(Collection<TargetSighting> present) {
        return targets.values().stream()
                .filter(interruptions -> !interruptions.crashed)
                .map(interruptions -> interruptions.target)
                .filter(target -> present.stream().anyMatch(each -> replaces(each, target)))
                .map(TargetSighting::id)
                .toList();
    }

    private static boolean replaces(TargetSighting present, TargetSighting former) {
        boolean sameAddress =
                present.address().equals(former.address()) && !present.id().equals(former.id());
        return sameAddress || present.isLaterStartOf(former);
    }

    /** Returns true if the target is known to have crashed. */
    public boolean hasCrashed(String target) {
        Interruptions interruptions = targets.get(target);
        return interruptions != null && interruptions.crashed;
    }

    /** Returns the number of recent interruptions at a target. */
    public int interruptionCount(String target) {
        Interruptions interruptions = targets.get(target);
        return interruptions == null ? 0 : interruptions.count;
    }

    /** Returns the targets that interrupted a request and of which neither a crash nor survival is known, not null. */
    public List<String> findUndecided(RequestFingerprint request) {
        return findUndecided(requests ->
                requests.stream().anyMatch(each -> each.fingerprint().equals(request)));
    }

    /**
     * Returns the targets that interrupted a request with a prompt part and of which neither a crash nor survival is
     * known, not null.
     */
    public List<String> findUndecided(String promptPart) {
        return findUndecided(requests ->
                requests.stream().anyMatch(each -> each.promptParts().contains(promptPart)));
    }

    private List<String> findUndecided(Predicate<Collection<InterruptedRequest>> interrupted) {
        return targets.values().stream()
                .filter(each -> !each.crashed && !each.alive && interrupted.test(each.requests.values()))
                .map(each -> each.target.id())
                .toList();
    }

    // ---- updates

    /** Records that a target interrupted a request. */
    public void recordInterruption(TargetSighting target, InterruptedRequest request) {
        evictExpired();
        Interruptions interruptions =
                targets.computeIfAbsent(target.id(), key -> new Interruptions(target, clock.millis()));
        interruptions.alive = false;
        interruptions.count++;
        if (interruptions.requests.size() < MAX_REQUESTS_PER_TARGET) {
            interruptions.requests.put(request.fingerprint(), request);
        }
    }

    /**
     * Records that a target crashed.
     *
     * @return the requests interrupted there that no earlier call returned, not null
     */
    public List<InterruptedRequest> recordCrash(String target) {
        Interruptions interruptions = targets.get(target);
        if (interruptions == null) {
            return List.of();
        }
        interruptions.crashed = true;
        List<InterruptedRequest> interrupted = List.copyOf(interruptions.requests.values());
        interruptions.requests.clear();
        return interrupted;
    }

    /**
     * Records that a target was running after an interruption.
     *
     * @param target the target, not null
     * @param interruptionCount the number of interruptions that had been recorded by then
     * @return false if it interrupted further requests since, of which this shows nothing
     */
    public boolean markAlive(String target, int interruptionCount) {
        Interruptions interruptions = targets.get(target);
        if (interruptions == null) {
            return true;
        }
        interruptions.alive = interruptions.count == interruptionCount;
        return interruptions.alive;
    }

    /** Records that requests completed; their earlier interruptions no longer count. */
    public void recordCompletion(Collection<RequestFingerprint> requests) {
        targets.values()
                .forEach(interruptions -> interruptions.requests.keySet().removeAll(requests));
    }

    private void evictExpired() {
        long oldest = clock.millis() - RETENTION_MILLIS;
        targets.values().removeIf(interruptions -> interruptions.firstMillis < oldest);
    }
}

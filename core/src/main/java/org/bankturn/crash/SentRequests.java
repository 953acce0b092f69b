package org.bankturn.crash;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * The requests that one gateway sent to each target and that the target may still run, or crash of.
 *
 * <p>The end of an attempt does not tell what becomes of its target: a deadline may end it while the target is dead or goes
 * on running the request, a complete response may precede a crash, and a running target may reset connections. A
 * request therefore stays here until its target has shown life after it can last have run the request, and a crash that
 * becomes known by then counts against the request, however its attempt ended.
 *
 * <p>SentRequests is mutable and not thread-safe.
 */
public final class SentRequests {
    /** How long after it has run a request a target may crash of it; covers delays on the path and at the gateway. */
    public static final long TAIL_MILLIS = 100;

    /** How long a sign of life of a target stands for its being alive. */
    public static final long FRESH_MILLIS = 200;

    /** Exceeds the time for a restart after a crash and the timeout of a target without heartbeats. */
    private static final long RETENTION_MILLIS = 30_000;

    private static final long EVICTION_INTERVAL_MILLIS = 1_000;

    /** The number of ended attempts kept per target; exceeds the number that one gateway has in flight there. */
    private static final int MAX_ENDED_PER_TARGET = 64;

    private final Clock clock;
    private final Map<String, TargetRequests> targets = new LinkedHashMap<>();
    private long evictedMillis;

    /** The requests at one target. */
    private static final class TargetRequests {
        private final TargetSighting target;
        private final Set<SentRequest> requests = new LinkedHashSet<>();
        private long aliveMillis = Long.MIN_VALUE;
        private long idleClosedMillis = Long.MIN_VALUE;
        private long lastSentMillis;
        private boolean crashed;

        TargetRequests(TargetSighting target) {
            this.target = target;
        }

        boolean isUndecided(SentRequest request, long nowMillis) {
            if (request.isCompleted()) {
                return hasClosedAfter(request);
            }
            boolean alive = aliveMillis > request.changedMillis() && aliveMillis >= nowMillis - FRESH_MILLIS;
            return !crashed && request.isQuestionable() && !alive;
        }

        /** Returns true if the target closed an idle connection after a response, and was not heard since. */
        boolean hasClosedAfter(SentRequest completed) {
            return !crashed && idleClosedMillis >= completed.changedMillis() && aliveMillis <= idleClosedMillis;
        }

        /** Data on a connection that is older than a request comes from the start of the target that got the request. */
        boolean isOwnConnection(long openedMillis) {
            return target.hasUniqueName() || requests.stream().allMatch(each -> openedMillis <= each.sentMillis());
        }

        void showLife(long atMillis) {
            aliveMillis = Math.max(aliveMillis, atMillis);
            requests.removeIf(each -> !each.isCompleted() && each.isOutlivedBy(aliveMillis - TAIL_MILLIS));
        }
    }

    /** Returns an instance without requests, not null. */
    public static SentRequests of(Clock clock) {
        return new SentRequests(clock);
    }

    private SentRequests(Clock clock) {
        this.clock = clock;
    }

    // ---- queries

    /**
     * Returns the targets with requests that another incarnation has replaced, not null.
     *
     * @param present the registered targets by incarnation, not null
     */
    public List<TargetSighting> findReplaced(Map<String, TargetSighting> present) {
        List<TargetSighting> absent = targetsWithRequests()
                .filter(target -> !present.containsKey(target.id()))
                .toList();
        if (absent.isEmpty()) {
            return List.of();
        }
        Set<String> addresses =
                present.values().stream().map(TargetSighting::address).collect(Collectors.toSet());
        Map<String, TargetSighting> byName = present.values().stream()
                .collect(Collectors.toMap(TargetSighting::name, each -> each, (one, other) -> one));
        return absent.stream()
                .filter(target ->
                        addresses.contains(target.address()) || isLaterStart(byName.get(target.name()), target))
                .toList();
    }

    private static boolean isLaterStart(TargetSighting present, TargetSighting former) {
        return present != null && present.isLaterStartOf(former);
    }

    /**
     * Returns the targets with requests that are among the given ones, not null.
     *
     * @param incarnations the incarnations, not null
     */
    public List<TargetSighting> findAmong(Set<String> incarnations) {
        return targetsWithRequests()
                .filter(target -> incarnations.contains(target.id()))
                .toList();
    }

    private Stream<TargetSighting> targetsWithRequests() {
        return targets.values().stream()
                .filter(each -> !each.crashed && !each.requests.isEmpty())
                .map(each -> each.target);
    }

    /** Returns true if the target is known to have crashed. */
    public boolean hasCrashed(String target) {
        TargetRequests known = targets.get(target);
        return known != null && known.crashed;
    }

    /** Returns true if the target has shown life since the request was sent, became silent or ended. */
    public boolean isAliveSince(SentRequest request) {
        TargetRequests known = targets.get(request.target().id());
        return known == null || known.aliveMillis > request.changedMillis();
    }

    /** Returns true if requests became silent or ended at a target at a time or later. */
    public boolean isQuestionableSince(String target, long millis) {
        TargetRequests known = targets.get(target);
        return known != null
                && known.requests.stream().anyMatch(each -> each.isQuestionable() && each.changedMillis() >= millis);
    }

    /** Returns true if it is not known of some target whether it has crashed of a request. */
    public boolean isAnyUndecided() {
        return !findUndecidedTargets(each -> true).isEmpty();
    }

    /** Returns the targets of which it is not known whether they have crashed during a request, not null. */
    public List<TargetSighting> findUndecided(RequestFingerprint request) {
        return findUndecidedTargets(each -> each.details().fingerprint().equals(request));
    }

    /** Returns the targets of which it is not known whether they have crashed during a part's requests, not null. */
    public List<TargetSighting> findUndecided(String promptPart) {
        return findUndecidedTargets(each -> each.details().promptParts().contains(promptPart));
    }

    private List<TargetSighting> findUndecidedTargets(Predicate<SentRequest> concerned) {
        long now = clock.millis();
        return targets.values().stream()
                .filter(each -> each.requests.stream()
                        .anyMatch(request -> each.isUndecided(request, now) && concerned.test(request)))
                .map(each -> each.target)
                .toList();
    }

    /** Returns what is known of the target of a request that completed {@link #TAIL_MILLIS} or longer ago, not null. */
    public CompletionVerdict judge(SentRequest completed) {
        if (completed.isCrashed()) {
            return CompletionVerdict.CRASHED;
        }
        TargetRequests known = targets.get(completed.target().id());
        boolean undecided = known != null && known.hasClosedAfter(completed);
        return undecided ? CompletionVerdict.UNDECIDED : CompletionVerdict.HARMLESS;
    }

    // ---- updates

    /**
     * Records that a request is sent to a target.
     *
     * @param target the target, not null
     * @param details returns what a crash of the target interrupts, not null
     * @param deadlineMillis the time until which the target may run the request
     * @return the request, not null
     */
    public SentRequest recordSent(TargetSighting target, Supplier<InterruptedRequest> details, long deadlineMillis) {
        long now = clock.millis();
        if (now - evictedMillis >= EVICTION_INTERVAL_MILLIS) {
            evictExpired();
        }
        SentRequest sent = new SentRequest(target, details, now, deadlineMillis);
        TargetRequests known = targets.computeIfAbsent(target.id(), key -> new TargetRequests(target));
        known.lastSentMillis = now;
        if (!known.crashed) {
            known.requests.add(sent);
        }
        return sent;
    }

    /** Records that a target has sent nothing for longer than it should. */
    public void recordSilence(SentRequest request) {
        request.becomeSilent(clock.millis());
    }

    /** Records that a target sent data, on a connection that was opened at a time. */
    public void recordData(SentRequest request, long connectionOpenedMillis) {
        request.receiveData();
        TargetRequests known = targets.get(request.target().id());
        if (known != null && known.isOwnConnection(connectionOpenedMillis)) {
            known.showLife(clock.millis());
        }
    }

    /** Records that a target named its incarnation in the answer to a question that was asked at a time. */
    public void recordAnswer(String target, long askedMillis) {
        TargetRequests known = targets.get(target);
        if (known != null) {
            known.showLife(askedMillis);
        }
    }

    /** Records that a target closed a connection on which no response was due. */
    public void recordIdleClose(String target) {
        TargetRequests known = targets.get(target);
        if (known != null) {
            known.idleClosedMillis = clock.millis();
        }
    }

    /** Records how the attempt at a request ended. */
    public void recordEnd(SentRequest request, RunEnd end) {
        request.end(end, clock.millis(), TAIL_MILLIS);
        TargetRequests known = targets.get(request.target().id());
        if (known == null) {
            return;
        }
        if (end == RunEnd.NOT_RUN) {
            known.requests.remove(request);
        }
        List<SentRequest> ended =
                known.requests.stream().filter(SentRequest::hasEnded).toList();
        if (ended.size() > MAX_ENDED_PER_TARGET) {
            known.requests.remove(ended.get(0));
        }
    }

    /** Forgets a request that is known to be harmless. */
    public void forget(SentRequest request) {
        TargetRequests known = targets.get(request.target().id());
        if (known != null) {
            known.requests.remove(request);
        }
    }

    /** Forgets the ended attempts at requests that completed at another target; they are harmless. */
    public void recordCompletion(RequestFingerprint request) {
        targets.values()
                .forEach(known -> known.requests.removeIf(each -> each.hasEnded()
                        && !each.isCompleted()
                        && each.details().fingerprint().equals(request)));
    }

    /**
     * Records that a target crashed.
     *
     * @return the requests that it may have crashed of and that no earlier call returned, not null
     */
    public List<InterruptedRequest> recordCrash(String target) {
        evictExpired();
        TargetRequests known = targets.get(target);
        if (known == null) {
            return List.of();
        }
        known.crashed = true;
        Map<RequestFingerprint, InterruptedRequest> suspects = new LinkedHashMap<>();
        for (SentRequest each : known.requests) {
            each.crash();
            suspects.put(each.details().fingerprint(), each.details());
        }
        known.requests.clear();
        return List.copyOf(suspects.values());
    }

    /** Records that a target ended as planned, which counts against no request. */
    public void recordDeparture(String target) {
        targets.remove(target);
    }

    private void evictExpired() {
        evictedMillis = clock.millis();
        long oldest = evictedMillis - RETENTION_MILLIS;
        targets.values().removeIf(each -> {
            each.requests.removeIf(request -> request.hasEnded() && request.changedMillis() < oldest);
            return each.requests.isEmpty() && each.lastSentMillis < oldest;
        });
    }
}

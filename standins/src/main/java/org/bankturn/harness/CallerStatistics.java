package org.bankturn.harness;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Outcomes of requests as seen by callers, and checks of the delivery guarantees.
 *
 * <p>CallerStatistics is thread-safe.
 */
public final class CallerStatistics {
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unknown = new AtomicInteger();
    private final AtomicInteger incorrect = new AtomicInteger();
    private final Set<String> confirmedIds = ConcurrentHashMap.newKeySet();
    private final Set<String> refusedIds = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();

    /** Creates empty statistics. */
    public CallerStatistics() {}

    void sent() {
        sent.incrementAndGet();
    }

    void answerComplete(String unsafeId) {
        complete.incrementAndGet();
        if (unsafeId != null) {
            confirmedIds.add(unsafeId);
        }
    }

    void refused(String unsafeId) {
        refused.incrementAndGet();
        if (unsafeId != null) {
            refusedIds.add(unsafeId);
        }
    }

    void unknown(String reason) {
        unknown.incrementAndGet();
        failures.add(reason);
    }

    void answerIncorrect(String reason) {
        incorrect.incrementAndGet();
        failures.add("INCORRECT " + reason);
    }

    /** Returns the number of requests sent. */
    public int sentCount() {
        return sent.get();
    }

    /** Returns the number of complete and correct answers. */
    public int completeCount() {
        return complete.get();
    }

    /** Returns the number of requests refused as not run. */
    public int refusedCount() {
        return refused.get();
    }

    /** Returns the number of requests with an unknown outcome or a closed connection. */
    public int unknownCount() {
        return unknown.get();
    }

    /** Returns the number of answers that were truncated, swapped, mixed or from the wrong weights. */
    public int incorrectCount() {
        return incorrect.get();
    }

    /** Returns descriptions of the first unknown or incorrect outcomes, not null. */
    public List<String> firstFailures() {
        return failures.stream().limit(5).toList();
    }

    /**
     * Counts non-idempotent requests that ran more than once.
     *
     * @param runsById the number of runs of each request, not null
     * @return the number, 0 if the guarantee holds
     */
    public long executedRepeatedly(Map<String, Integer> runsById) {
        return runsById.values().stream().filter(runs -> runs > 1).count();
    }

    /**
     * Counts confirmed requests that never ran.
     *
     * @param runsById the number of runs of each request, not null
     * @return the number, 0 if the guarantee holds
     */
    public long confirmedButNotExecuted(Map<String, Integer> runsById) {
        return confirmedIds.stream().filter(id -> !runsById.containsKey(id)).count();
    }

    /**
     * Counts requests that were refused as not run but did run.
     *
     * @param runsById the number of runs of each request, not null
     * @return the number, 0 if the guarantee holds
     */
    public long refusedButExecuted(Map<String, Integer> runsById) {
        return refusedIds.stream()
                .filter(id -> !confirmedIds.contains(id))
                .filter(runsById::containsKey)
                .count();
    }
}

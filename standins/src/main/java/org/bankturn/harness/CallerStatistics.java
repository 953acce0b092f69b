package org.bankturn.harness;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What callers saw, and what that says of the promises.
 *
 * <p>CallerStatistics is thread-safe.
 */
public final class CallerStatistics {
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unknown = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final Set<String> confirmedIds = ConcurrentHashMap.newKeySet();
    private final Set<String> refusedIds = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<String> notes = new ConcurrentLinkedQueue<>();

    /** Creates an empty statistics. */
    public CallerStatistics() {}

    void sent() {
        sent.incrementAndGet();
    }

    void answerComplete(String unsafeId) {
        whole.incrementAndGet();
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

    void unknown(String why) {
        unknown.incrementAndGet();
        notes.add(why);
    }

    void answerIncorrect(String why) {
        wrong.incrementAndGet();
        notes.add("WRONG " + why);
    }

    /** Returns the requests sent. */
    public int sentCount() {
        return sent.get();
    }

    /** Returns the requests answered whole, with the right content. */
    public int completeCount() {
        return whole.get();
    }

    /** Returns the requests refused and said not to have run. */
    public int refusedCount() {
        return refused.get();
    }

    /** Returns the requests whose outcome the caller was told is not known, or whose connection was cut. */
    public int unknownCount() {
        return unknown.get();
    }

    /** Returns the answers that were short, swapped, mixed or of the wrong weights. */
    public int incorrectCount() {
        return wrong.get();
    }

    /** Returns the first few notes on what was unknown or wrong, not null. */
    public List<String> firstFailures() {
        return notes.stream().limit(5).toList();
    }

    /**
     * Counts unsafe requests that ran more than once.
     *
     * @param runsById how often each ran, not null
     * @return the number, 0 if the promise holds
     */
    public long executedRepeatedly(Map<String, Integer> runsById) {
        return runsById.values().stream().filter(runs -> runs > 1).count();
    }

    /**
     * Counts confirmed requests that never ran.
     *
     * @param runsById how often each ran, not null
     * @return the number, 0 if the promise holds
     */
    public long confirmedButNotExecuted(Map<String, Integer> runsById) {
        return confirmedIds.stream().filter(id -> !runsById.containsKey(id)).count();
    }

    /**
     * Counts requests that were said not to have run, but did.
     *
     * @param runsById how often each ran, not null
     * @return the number, 0 if the promise holds
     */
    public long refusedButExecuted(Map<String, Integer> runsById) {
        return refusedIds.stream()
                .filter(id -> !confirmedIds.contains(id))
                .filter(runsById::containsKey)
                .count();
    }
}

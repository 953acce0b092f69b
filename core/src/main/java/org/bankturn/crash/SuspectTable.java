package org.bankturn.crash;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests during which targets crashed.
 *
 * <p>Each incarnation counts once per request, however many gateways report its crash. A request that completes is
 * cleared, since it did not cause the crash. A crash during a condemned request counts only against that request:
 * when many targets crash for another reason, one condemned request would otherwise be followed by most of those that
 * were in flight beside it. Cleared requests stay in the table, so that updates to followers include
 * them.
 *
 * <p>The table is bounded. Requests with the fewest crashed targets are evicted first, the least recently changed ones
 * among them first; an evicted request starts again without crashed targets. SuspectTable is mutable and not
 * thread-safe.
 */
public final class SuspectTable {
    /** The number of requests in flight at 64 targets with 16 slots each that crash at once; 121 KB when stored. */
    public static final int MAX_SUSPECTS = 1_024;

    private static final Comparator<Suspect> EVICTION_ORDER = Comparator.<Suspect>comparingInt(
                    each -> each.endedTargets().size())
            .thenComparingLong(Suspect::changedIndex);

    private final Map<RequestFingerprint, Suspect> suspects = new LinkedHashMap<>();

    /** Returns a table without suspects, not null. */
    public static SuspectTable empty() {
        return new SuspectTable();
    }

    /** Returns a table with the given content, not null. */
    public static SuspectTable restore(Collection<Suspect> content) {
        SuspectTable table = new SuspectTable();
        content.forEach(each -> table.suspects.put(each.fingerprint(), each));
        return table;
    }

    private SuspectTable() {}

    // ---- queries

    /** Returns all requests, including cleared ones, not null. */
    public List<Suspect> content() {
        return List.copyOf(suspects.values());
    }

    /** Returns the requests that changed after a log index, not null. */
    public List<Suspect> changedSince(long index) {
        return suspects.values().stream()
                .filter(each -> each.changedIndex() > index)
                .toList();
    }

    /** Returns the entry for a request, empty if there is none, not null. */
    public Optional<Suspect> find(RequestFingerprint fingerprint) {
        return Optional.ofNullable(suspects.get(fingerprint));
    }

    /** Returns true if the trial of a condemned request with a number, starting at 1, may be taken. */
    public boolean isTrialAvailable(RequestFingerprint fingerprint, int number) {
        return known(fingerprint).isTrialAvailable(number);
    }

    /** Returns the targets that crashed while running a request, not null. */
    public List<String> endedTargetsOf(RequestFingerprint fingerprint) {
        Suspect known = suspects.get(fingerprint);
        return known == null ? List.of() : known.endedTargets();
    }

    /** Returns true if a request must not be sent to any target. */
    boolean isCondemned(RequestFingerprint fingerprint) {
        return known(fingerprint).isCondemned();
    }

    /** Returns true if the table has no entries. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns true if recording the crash of a target would change the entry for a request. */
    public boolean wouldRecordCrash(RequestFingerprint fingerprint, String target) {
        return known(fingerprint).wouldChange(target) && !isAttributed(target);
    }

    /** Returns true if a condemned request accounts for the crash of a target. */
    boolean isAttributed(String target) {
        return suspects.values().stream()
                .anyMatch(each -> each.isCondemned() && each.endedTargets().contains(target));
    }

    // ---- updates

    /**
     * Records that a target crashed while running a request.
     *
     * @param index the index of the log entry
     * @param fingerprint the fingerprint of the request, not null
     * @param target the incarnation that crashed, not null
     */
    public void recordCrash(long index, RequestFingerprint fingerprint, String target) {
        if (!wouldRecordCrash(fingerprint, target)) {
            return;
        }
        Suspect changed = known(fingerprint).withEndedTarget(target, index);
        put(changed);
        if (changed.isCondemned()) {
            attributeTo(changed);
        }
    }

    /** Stops counting the crashes during a condemned request against the other requests that were in flight there. */
    private void attributeTo(Suspect condemned) {
        for (Suspect other : content()) {
            if (!other.isCondemned() && !Collections.disjoint(other.endedTargets(), condemned.endedTargets())) {
                put(other.withoutEndedTargets(condemned.endedTargets(), condemned.changedIndex()));
            }
        }
    }

    /** Stops counting the crashes of targets that a prompt part explains against requests that are not condemned. */
    public void attributeToPart(long index, Collection<String> targets) {
        for (Suspect each : content()) {
            if (!each.isCondemned() && !Collections.disjoint(each.endedTargets(), targets)) {
                put(each.withoutEndedTargets(targets, index));
            }
        }
    }

    /**
     * Grants a trial of a condemned request: only the process that takes it may send the request again.
     *
     * @param index the index of the log entry
     * @param fingerprint the fingerprint of the request, not null
     * @param number the number of the trial, starting at 1; granted to the first process that asks
     * @param who the process that takes the trial, not null
     */
    public void takeTrial(long index, RequestFingerprint fingerprint, int number, String who) {
        if (isTrialAvailable(fingerprint, number)) {
            put(known(fingerprint).withTrial(who, index));
        }
    }

    /** Clears a request that completed, or that an operator allows to run again. */
    public void clear(long index, RequestFingerprint fingerprint) {
        if (!endedTargetsOf(fingerprint).isEmpty()) {
            put(Suspect.cleared(fingerprint, index));
        }
    }

    /** Adds or replaces the entry for a request. */
    public void put(Suspect suspect) {
        suspects.remove(suspect.fingerprint());
        if (suspects.size() >= MAX_SUSPECTS) {
            evictOne();
        }
        suspects.put(suspect.fingerprint(), suspect);
    }

    /** Removes the entry for a request. */
    public void remove(RequestFingerprint fingerprint) {
        suspects.remove(fingerprint);
    }

    private void evictOne() {
        suspects.values().stream().min(EVICTION_ORDER).ifPresent(each -> suspects.remove(each.fingerprint()));
    }

    private Suspect known(RequestFingerprint fingerprint) {
        return suspects.getOrDefault(fingerprint, Suspect.cleared(fingerprint, 0));
    }
}

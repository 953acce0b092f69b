package org.bankturn.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests under which targets ended.
 *
 * <p>Each incarnation counts once, however many gateways and copies of the request tell of its end. A request that runs to
 * its end is cleared: bystanders do so soon, at another target. What was cleared is kept without anything against it, so
 * that followers hear of it.
 *
 * <p>The table is bounded. First those with the fewest ends are forgotten, of these the oldest; such a request must end as
 * many targets anew before it is condemned. SuspectTable is mutable and not thread-safe.
 */
public final class SuspectTable {
    /** As many as are under way at 64 engines of 16 places that end at the same moment; 121 KB as it is stored. */
    public static final int MAX_SUSPECTS = 1_024;

    private static final Comparator<Suspect> LEAST_NEEDED = Comparator.<Suspect>comparingInt(
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

    /** Returns all that it holds, those that were cleared included, not null. */
    public List<Suspect> content() {
        return List.copyOf(suspects.values());
    }

    /** Returns what changed after a log entry, not null. */
    public List<Suspect> changedSince(long index) {
        return suspects.values().stream()
                .filter(each -> each.changedIndex() > index)
                .toList();
    }

    /** Returns what is held against a request, empty if nothing ever was, not null. */
    public Optional<Suspect> find(RequestFingerprint fingerprint) {
        return Optional.ofNullable(suspects.get(fingerprint));
    }

    /** Returns true if a trial with that number may be taken of a condemned request. */
    public boolean isTrialAvailable(RequestFingerprint fingerprint, int number) {
        return known(fingerprint).isTrialAvailable(number);
    }

    /** Returns the targets that ended under a request, none if nothing is held against it, not null. */
    public List<String> endedTargetsOf(RequestFingerprint fingerprint) {
        Suspect known = suspects.get(fingerprint);
        return known == null ? List.of() : known.endedTargets();
    }

    /** Returns true if nothing is held against any request. */
    public boolean isEmpty() {
        return suspects.isEmpty();
    }

    /** Returns true if the end of a target would add to what is held against a request. */
    public boolean wouldRecordCrash(RequestFingerprint fingerprint, String target) {
        return known(fingerprint).wouldChange(target);
    }

    // ---- what is learned

    /**
     * A target ended while the request ran there.
     *
     * @param index the log entry that tells of it
     * @param fingerprint the request, not null
     * @param target the incarnation that ended, not null
     */
    public void recordCrash(long index, RequestFingerprint fingerprint, String target) {
        Suspect known = known(fingerprint);
        if (known.wouldChange(target)) {
            put(known.withEndedTarget(target, index));
        }
    }

    /**
     * Someone takes a trial of a condemned request: it alone may send the request once more.
     *
     * @param index the log entry that tells of it
     * @param fingerprint the request, not null
     * @param number the number of the trial, from 1; taken by whoever asks first
     * @param who takes it, not null
     */
    public void takeTrial(long index, RequestFingerprint fingerprint, int number, String who) {
        if (isTrialAvailable(fingerprint, number)) {
            put(known(fingerprint).withTrial(who, index));
        }
    }

    /** The request ran to its end, or an operator says that it may run again. */
    public void clear(long index, RequestFingerprint fingerprint) {
        if (!endedTargetsOf(fingerprint).isEmpty()) {
            put(Suspect.cleared(fingerprint, index));
        }
    }

    /** Takes in what another table holds of one request. */
    public void put(Suspect suspect) {
        suspects.remove(suspect.fingerprint());
        if (suspects.size() >= MAX_SUSPECTS) {
            forgetLeastNeeded();
        }
        suspects.put(suspect.fingerprint(), suspect);
    }

    /** Forgets a request, whatever is held against it. */
    public void remove(RequestFingerprint fingerprint) {
        suspects.remove(fingerprint);
    }

    private void forgetLeastNeeded() {
        suspects.values().stream().min(LEAST_NEEDED).ifPresent(each -> suspects.remove(each.fingerprint()));
    }

    private Suspect known(RequestFingerprint fingerprint) {
        return suspects.getOrDefault(fingerprint, Suspect.cleared(fingerprint, 0));
    }
}

package org.bankturn.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The prompt parts of requests during which targets crashed, and which of them are condemned.
 *
 * <p>Most parts that were in flight at a crashed target are harmless. So once a part is condemned, its crashes count against
 * no part that ran to its end before, and another part that never did is condemned only if it was in flight at two further
 * crashed targets. Of parts that never ran to their end, those condemned earlier stay so; then the one with the most crashes
 * comes first, then the one further back in its prompt, which fewer requests share.
 *
 * <p>The table is bounded. Parts with the fewest crashes are evicted first, the least recently changed ones among them first.
 * SuspectPartTable is mutable and not thread-safe.
 */
public final class SuspectPartTable {
    /** Exceeds the parts in flight at all targets that crash between two crashes of the same cause. */
    public static final int MAX_PARTS = 512;

    /** The number of crashes that no condemned part explains, from which on a further part is condemned. */
    private static final int MIN_UNEXPLAINED_CRASHES = 2;

    /** The order in which parts are condemned that never ran to their end. */
    private static final Comparator<SuspectPart> CONDEMNATION_ORDER = Comparator.<SuspectPart>comparingLong(
                    each -> each.condemnedIndex() > 0 ? each.condemnedIndex() : Long.MAX_VALUE)
            .thenComparing(Comparator.comparingInt(SuspectPart::countUnproven).reversed())
            .thenComparing(Comparator.comparingInt(SuspectPart::depth).reversed())
            .thenComparing(SuspectPart::part);

    private static final Comparator<SuspectPart> EVICTION_ORDER = Comparator.<SuspectPart>comparingInt(
                    each -> each.crashes().size())
            .thenComparingLong(SuspectPart::changedIndex);

    private final Map<String, SuspectPart> parts = new LinkedHashMap<>();
    private Verdict verdict = Verdict.NONE;
    private boolean verdictOutdated;

    /** The condemned parts, and the crashed targets that they explain. */
    private record Verdict(Set<String> condemned, Set<String> explainedTargets) {
        private static final Verdict NONE = new Verdict(Set.of(), Set.of());
    }

    /** Returns a table without parts, not null. */
    public static SuspectPartTable empty() {
        return new SuspectPartTable();
    }

    /** Returns a table with the given content, not null. */
    public static SuspectPartTable restore(Collection<SuspectPart> content) {
        SuspectPartTable table = new SuspectPartTable();
        content.forEach(each -> table.parts.put(each.part(), each));
        table.verdictOutdated = true;
        return table;
    }

    private SuspectPartTable() {}

    // ---- queries

    /** Returns all parts, including those whose crashes were disproved, not null. */
    public List<SuspectPart> content() {
        return List.copyOf(parts.values());
    }

    /** Returns the parts that changed after a log index, not null. */
    public List<SuspectPart> changedSince(long index) {
        return parts.values().stream()
                .filter(each -> each.changedIndex() > index)
                .toList();
    }

    /** Returns the entry for a part, empty if there is none, not null. */
    public Optional<SuspectPart> find(String part) {
        return Optional.ofNullable(parts.get(part));
    }

    /** Returns true if no crash counts against any part. */
    public boolean isEmpty() {
        return parts.values().stream().allMatch(each -> each.crashes().isEmpty());
    }

    /** Returns the parts whose requests must not be sent to any target, not null. */
    public Set<String> condemned() {
        return verdict().condemned;
    }

    /** Returns true if a condemned part accounts for the crash of a target. */
    public boolean isAttributed(String target) {
        return verdict().explainedTargets.contains(target);
    }

    /** Returns the crashed targets for which condemned parts account, not null. */
    public Set<String> explainedTargets() {
        return verdict().explainedTargets;
    }

    /**
     * Returns true if recording the crash of a target would change the entry for a part.
     *
     * <p>Once a condemned part explains the crash, it is not held against parts without other crashes. It is recorded for
     * those with others, since the condemned part may prove to be the wrong one.
     */
    public boolean wouldRecordCrash(InterruptedPart interrupted, String target) {
        SuspectPart known = known(interrupted.part());
        if (isAttributed(target) && known.crashes().isEmpty()) {
            return false;
        }
        return !known.withCrash(crashOf(interrupted, target, Long.MAX_VALUE), interrupted.depth(), 0)
                .crashes()
                .equals(known.crashes());
    }

    /** Returns true if a completed request would change the entry for its part. */
    public boolean wouldRecordCompletion(CompletedPart completed) {
        SuspectPart known = parts.get(completed.part());
        return known != null && known.wouldChange(completed);
    }

    /** Returns true if the trial of a condemned part with a number, starting at 1, may be taken. */
    public boolean isTrialAvailable(String part, int number) {
        return condemned().contains(part) && known(part).isTrialAvailable(number);
    }

    /** Returns true if a process took the last trial of a part. */
    public boolean isTrialOf(String part, String who) {
        return who.equals(known(part).trialBy());
    }

    private Verdict verdict() {
        if (verdictOutdated) {
            verdictOutdated = false;
            verdict = judge();
        }
        return verdict;
    }

    private Verdict judge() {
        Set<String> condemned = new LinkedHashSet<>();
        Set<String> explained = new HashSet<>();
        parts.values().stream()
                .filter(SuspectPart::isCondemnedUnproven)
                .sorted(CONDEMNATION_ORDER)
                .filter(each -> each.condemnedIndex() > 0
                        || each.crashesOutside(explained).size() >= MIN_UNEXPLAINED_CRASHES)
                .forEachOrdered(each -> {
                    condemned.add(each.part());
                    explained.addAll(each.endedTargets());
                });
        parts.values().stream()
                .filter(each -> !condemned.contains(each.part()))
                .filter(each -> each.isCondemnedBySuccession(each.crashesOutside(explained)))
                .toList()
                .forEach(each -> {
                    condemned.add(each.part());
                    explained.addAll(each.endedTargets());
                });
        return new Verdict(Set.copyOf(condemned), Set.copyOf(explained));
    }

    // ---- updates

    /**
     * Records that a target crashed while requests with the given parts were in flight there.
     *
     * @param index the index of the log entry, {@link Long#MAX_VALUE} if only this process knows of the crash
     * @param interrupted the parts, judged together, not null
     * @param target the incarnation that crashed, not null
     */
    public void recordCrash(long index, Collection<InterruptedPart> interrupted, String target) {
        List<InterruptedPart> changed = interrupted.stream()
                .filter(part -> wouldRecordCrash(part, target))
                .toList();
        for (InterruptedPart part : changed) {
            put(known(part.part()).withCrash(crashOf(part, target, index), part.depth(), index));
        }
    }

    private static PartCrash crashOf(InterruptedPart interrupted, String target, long index) {
        return new PartCrash(
                target, interrupted.requests(), interrupted.weightsVersion(), interrupted.knownIndex(), index);
    }

    /** Records that a request with a suspect part ran to its end. */
    public void recordCompletion(long index, CompletedPart completed) {
        if (wouldRecordCompletion(completed)) {
            put(known(completed.part()).withCompletion(completed, index));
        }
    }

    /** Records which parts are condemned as of a log entry, so that they stay so when further crashes are recorded. */
    public void recordVerdict(long index) {
        Set<String> condemned = condemned();
        for (SuspectPart each : content()) {
            if (condemned.contains(each.part()) != each.condemnedIndex() > 0) {
                put(each.withCondemnedIndex(each.condemnedIndex() > 0 ? 0 : index, index));
            }
        }
    }

    /**
     * Grants a trial of a condemned part: only the process that takes it may send one request with the part.
     *
     * @param index the index of the log entry
     * @param part the part, not null
     * @param number the number of the trial, starting at 1; granted to the first process that asks
     * @param who the process that takes the trial, not null
     */
    public void takeTrial(long index, String part, int number, String who) {
        if (isTrialAvailable(part, number)) {
            put(known(part).withTrial(who, index));
        }
    }

    /** Returns the last trial of a part, if the process took it and sent its request to no target. */
    public void returnTrial(long index, String part, String who) {
        if (isTrialOf(part, who)) {
            put(known(part).withoutLastTrial(index));
        }
    }

    /** Forgets the crashes of a part, which an operator allows to be sent again. */
    public void clear(long index, String part) {
        if (!known(part).crashes().isEmpty()) {
            put(SuspectPart.withoutCrashes(part, index));
        }
    }

    /** Adds or replaces the entry for a part. */
    public void put(SuspectPart suspect) {
        parts.remove(suspect.part());
        if (parts.size() >= MAX_PARTS) {
            parts.values().stream().min(EVICTION_ORDER).ifPresent(each -> parts.remove(each.part()));
        }
        parts.put(suspect.part(), suspect);
        verdictOutdated = true;
    }

    private SuspectPart known(String part) {
        return parts.getOrDefault(part, SuspectPart.withoutCrashes(part, 0));
    }
}

package org.bankturn.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A prompt part of requests during which targets crashed.
 *
 * <p>A part that never ran to its end on the weights in question is condemned by any five crashes. One that did is condemned
 * only by five crashes in succession, each during a request sent after the crash before it was known, since many targets may
 * crash at once for another reason. Crashes during the same request count against that request and not against its parts.
 *
 * @param part the id of the part, not null
 * @param depth the greatest position at which it stood in a prompt, 0 for the first
 * @param crashes the last crashes that no completed request disproved, in order, not null
 * @param completedVersion the newest version of the weights on which a request with the part ran to its end,
 *     {@link #NEVER_COMPLETED} if none is known
 * @param condemnedIndex the index of the log entry at which the control group condemned the part, 0 if it is not condemned
 * @param trials the number of trials, in which one request with the condemned part was sent
 * @param trialBy the process that took the last trial, null if there was none
 * @param changedIndex the index of the log entry that last changed this, 0 if only this process observed it
 */
public record SuspectPart(
        String part,
        int depth,
        List<PartCrash> crashes,
        int completedVersion,
        long condemnedIndex,
        int trials,
        String trialBy,
        long changedIndex)
        implements TrialSubject {
    /** The number of crashed targets at which a part is condemned. */
    public static final int CONDEMNATION_THRESHOLD = 5;

    /** Lower than any version of weights. */
    public static final int NEVER_COMPLETED = -2;

    /** Exceeds the threshold, so that the part with the most crashes can be told from those beside it. */
    static final int MAX_CRASHES = 8;

    /** The crashes that are kept of a condemned part; those that were dropped would count against parts beside it again. */
    static final int MAX_CRASHES_CONDEMNED = 32;

    /** Copies the crashes. */
    public SuspectPart {
        crashes = List.copyOf(crashes);
    }

    /** Returns a part without crashes, not null. */
    public static SuspectPart withoutCrashes(String part, long index) {
        return new SuspectPart(part, 0, List.of(), NEVER_COMPLETED, 0, 0, null, index);
    }

    // ---- queries

    /** Returns the targets that crashed, not null. */
    public List<String> endedTargets() {
        return crashes.stream().map(PartCrash::target).toList();
    }

    /** Returns true if a request with the part is known to have run to its end. */
    public boolean hasCompleted() {
        return completedVersion > NEVER_COMPLETED;
    }

    /** Returns the crashes at targets that are not among the given ones, not null. */
    List<PartCrash> crashesOutside(Collection<String> explainedTargets) {
        return crashes.stream()
                .filter(crash -> !explainedTargets.contains(crash.target()))
                .toList();
    }

    /** Returns true if the part is condemned by crashes on weights on which it never ran to its end. */
    boolean isCondemnedUnproven() {
        return countUnproven() >= CONDEMNATION_THRESHOLD && !isCausedByOneRequest(crashes);
    }

    /** Returns true if the part is condemned by the given crashes, although it ran to its end before. */
    boolean isCondemnedBySuccession(List<PartCrash> counted) {
        return countSuccessive(counted) >= CONDEMNATION_THRESHOLD && !isCausedByOneRequest(counted);
    }

    /** Returns how many crashes happened on weights on which the part never ran to its end. */
    int countUnproven() {
        return (int) crashes.stream()
                .filter(crash -> crash.weightsVersion() > completedVersion)
                .count();
    }

    /** Returns the length of the longest sequence of crashes, each during a request sent after the one before. */
    private static int countSuccessive(List<PartCrash> counted) {
        int length = 0;
        long lastIndex = Long.MIN_VALUE;
        for (PartCrash crash : sorted(counted)) {
            if (crash.knownIndex() >= lastIndex) {
                length++;
                lastIndex = crash.index();
            }
        }
        return length;
    }

    private static List<PartCrash> sorted(List<PartCrash> crashes) {
        return crashes.stream()
                .sorted(Comparator.comparingLong(PartCrash::index))
                .toList();
    }

    /** Returns true if one request was in flight at all the crashed targets but one at most. */
    private static boolean isCausedByOneRequest(List<PartCrash> counted) {
        Map<RequestFingerprint, Integer> crashesByRequest = new HashMap<>();
        counted.forEach(crash -> crash.requests().forEach(request -> crashesByRequest.merge(request, 1, Integer::sum)));
        return crashesByRequest.values().stream().anyMatch(crashed -> crashed >= counted.size() - 1);
    }

    @Override
    public boolean isTrialAvailable(int number) {
        return number == trials + 1 && number <= MAX_TRIALS;
    }

    /** Returns true if a completed request with the part would change this. */
    public boolean wouldChange(CompletedPart completed) {
        return completed.weightsVersion() > completedVersion
                || crashes.stream().anyMatch(crash -> crash.isDisprovedBy(completed));
    }

    // ---- changed copies

    /** Returns a copy with one more crash, or with one more report of a known crash, not null. */
    SuspectPart withCrash(PartCrash crash, int atDepth, long atIndex) {
        List<PartCrash> changed = new ArrayList<>();
        PartCrash merged = crash;
        for (PartCrash each : crashes) {
            if (each.target().equals(crash.target())) {
                merged = each.merge(crash);
            } else {
                changed.add(each);
            }
        }
        changed.add(merged);
        List<PartCrash> all = sorted(changed);
        int kept = condemnedIndex > 0 ? MAX_CRASHES_CONDEMNED : MAX_CRASHES;
        return new SuspectPart(
                part,
                Math.max(depth, atDepth),
                all.subList(Math.max(0, all.size() - kept), all.size()),
                completedVersion,
                condemnedIndex,
                trials,
                trialBy,
                atIndex);
    }

    /** Returns a copy after a request with the part completed, not null. */
    SuspectPart withCompletion(CompletedPart completed, long atIndex) {
        List<PartCrash> remaining = crashes.stream()
                .filter(crash -> !crash.isDisprovedBy(completed))
                .toList();
        int version = Math.max(completedVersion, completed.weightsVersion());
        return remaining.isEmpty()
                ? new SuspectPart(part, depth, remaining, version, 0, 0, null, atIndex)
                : new SuspectPart(part, depth, remaining, version, condemnedIndex, trials, trialBy, atIndex);
    }

    /** Returns a copy that was condemned at a log entry, or is not condemned if that is 0, not null. */
    SuspectPart withCondemnedIndex(long condemnedAtIndex, long atIndex) {
        return new SuspectPart(part, depth, crashes, completedVersion, condemnedAtIndex, trials, trialBy, atIndex);
    }

    /** Returns a copy with one more trial, not null. */
    SuspectPart withTrial(String who, long atIndex) {
        return new SuspectPart(part, depth, crashes, completedVersion, condemnedIndex, trials + 1, who, atIndex);
    }

    /** Returns a copy without the last trial, whose request was sent to no target, not null. */
    SuspectPart withoutLastTrial(long atIndex) {
        return new SuspectPart(part, depth, crashes, completedVersion, condemnedIndex, trials - 1, null, atIndex);
    }
}

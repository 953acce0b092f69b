package org.bankturn.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * A request during which targets crashed and that has not completed since.
 *
 * @param fingerprint the fingerprint of the request, not null
 * @param endedTargets the distinct incarnations that crashed, up to the threshold; empty once the request completed,
 *     not null
 * @param trials the number of trials, in which the condemned request was sent again to check whether it causes crashes
 * @param trialBy the process that took the last trial, null if there was none
 * @param changedIndex the index of the log entry that last changed this, 0 if only this process observed it
 */
public record Suspect(
        RequestFingerprint fingerprint, List<String> endedTargets, int trials, String trialBy, long changedIndex)
        implements TrialSubject {
    /** The number of crashed targets at which a request is condemned. */
    public static final int CONDEMNATION_THRESHOLD = 3;

    /** Copies the targets. */
    public Suspect {
        endedTargets = List.copyOf(endedTargets);
    }

    /** Returns a request without crashed targets, not null. */
    public static Suspect cleared(RequestFingerprint fingerprint, long index) {
        return new Suspect(fingerprint, List.of(), 0, null, index);
    }

    /** Returns true if the request must not be sent to any target. */
    public boolean isCondemned() {
        return endedTargets.size() >= CONDEMNATION_THRESHOLD;
    }

    /** Returns true if recording the crash of a target would change this suspect. */
    boolean wouldChange(String target) {
        return !isCondemned() && !endedTargets.contains(target);
    }

    /** Returns a copy with one more crashed target, not null. */
    Suspect withEndedTarget(String target, long index) {
        List<String> more = new ArrayList<>(endedTargets);
        more.add(target);
        return new Suspect(fingerprint, more, trials, trialBy, index);
    }

    /** Returns a copy without the given crashed targets, not null. */
    Suspect withoutEndedTargets(Collection<String> targets, long index) {
        List<String> remaining =
                endedTargets.stream().filter(each -> !targets.contains(each)).toList();
        return new Suspect(fingerprint, remaining, trials, trialBy, index);
    }

    @Override
    public boolean isTrialAvailable(int number) {
        return isCondemned() && number == trials + 1 && number <= MAX_TRIALS;
    }

    /** Returns a copy with one more trial, not null. */
    Suspect withTrial(String who, long index) {
        return new Suspect(fingerprint, endedTargets, trials + 1, who, index);
    }
}

package org.bankturn.crash;

import java.util.ArrayList;
import java.util.List;

/**
 * A request under which targets ended and that has not run to its end since.
 *
 * @param fingerprint the request, not null
 * @param endedTargets the incarnations that ended under it, each once, the first few; none once it ran to its end, not null
 * @param trials how often it was sent once more after it was condemned, to see whether it is to blame
 * @param trialBy who took the last of these trials, null if nobody did
 * @param changedIndex the log entry that last changed this, 0 for what only this process knows
 */
public record Suspect(
        RequestFingerprint fingerprint, List<String> endedTargets, int trials, String trialBy, long changedIndex) {
    /** A request under which that many targets ended is sent to no further one. */
    public static final int CONDEMNATION_THRESHOLD = 3;

    /**
     * Bystanders that many copies of were under way when many targets ended at once are condemned as well; without a trial
     * they would be refused for good. A request that does end its targets ends that many more.
     */
    public static final int MAX_TRIALS = 2;

    /** Copies the targets. */
    public Suspect {
        endedTargets = List.copyOf(endedTargets);
    }

    /** Returns a request that nothing is held against, not null. */
    public static Suspect cleared(RequestFingerprint fingerprint, long index) {
        return new Suspect(fingerprint, List.of(), 0, null, index);
    }

    /** Returns true if it must be sent to no target any more. */
    public boolean isCondemned() {
        return endedTargets.size() >= CONDEMNATION_THRESHOLD;
    }

    /** Returns true if the end of a target would add to what is held against it. */
    boolean wouldChange(String target) {
        return !isCondemned() && !endedTargets.contains(target);
    }

    /** Returns this request with one more target that ended under it, not null. */
    Suspect withEndedTarget(String target, long index) {
        List<String> more = new ArrayList<>(endedTargets);
        more.add(target);
        return new Suspect(fingerprint, more, trials, trialBy, index);
    }

    /** Returns true if a trial with that number may be taken. */
    boolean isTrialAvailable(int number) {
        return isCondemned() && number == trials + 1 && number <= MAX_TRIALS;
    }

    /** Returns this request with one more trial taken, not null. */
    Suspect withTrial(String who, long index) {
        return new Suspect(fingerprint, endedTargets, trials + 1, who, index);
    }
}

package org.bankturn.crash;

import java.util.ArrayList;
import java.util.List;

/**
 * A request under which targets ended and that has not run to its end since.
 *
 * @param fingerprint the request, not null
 * @param endedTargets the incarnations that ended under it, each once, the first few; none once it ran to its end, not null
 * @param changedIndex the log entry that last changed this, 0 for what only this process knows
 */
public record Suspect(RequestFingerprint fingerprint, List<String> endedTargets, long changedIndex) {
    /** A request under which that many targets ended is sent to no further one. */
    public static final int ENDS_THAT_CONDEMN = 3;

    /** Copies the targets. */
    public Suspect {
        endedTargets = List.copyOf(endedTargets);
    }

    /** Returns a request that nothing is held against, not null. */
    public static Suspect cleared(RequestFingerprint fingerprint, long index) {
        return new Suspect(fingerprint, List.of(), index);
    }

    /** Returns true if it must be sent to no target any more. */
    public boolean isCondemned() {
        return endedTargets.size() >= ENDS_THAT_CONDEMN;
    }

    /** Returns true if the end of a target would add to what is held against it. */
    boolean wouldChange(String target) {
        return !isCondemned() && !endedTargets.contains(target);
    }

    /** Returns this request with one more target that ended under it, not null. */
    Suspect blamedFor(String target, long index) {
        List<String> more = new ArrayList<>(endedTargets);
        more.add(target);
        return new Suspect(fingerprint, more, index);
    }
}

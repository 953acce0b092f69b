package org.bankturn.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bankturn.time.Clock;

/**
 * Says when a condemned request is sent once more to see whether it does end its targets.
 *
 * <p>Load pattern: many targets end at once, for a reason of their own, while copies of one request are under way at several
 * of them. The request is condemned although it ends nothing, and since it is sent no more nothing would ever clear it. The
 * first trial waits until targets that ended are back and have little to do; the second shows that the first did not break
 * off by chance. A request that does end its targets ends two more for it. TrialScheduler is mutable and not thread-safe.
 */
public final class TrialScheduler {
    /** How long what is held against a request must have stood, before the first trial and before the second. */
    private static final long[] STANDS_MILLIS = {5_000, 60_000};

    private final Clock clock;
    private final Map<RequestFingerprint, Learned> learned = new HashMap<>();

    /** When it was learned what a log entry says of a request. */
    private record Learned(long index, long atMillis) {}

    /** Returns a plan for a gateway that knows of no condemned request, not null. */
    public static TrialScheduler of(Clock clock) {
        return new TrialScheduler(clock);
    }

    private TrialScheduler(Clock clock) {
        this.clock = clock;
    }

    /** Takes in which requests are condemned, and what the control group holds against them. */
    public void update(Collection<RequestFingerprint> condemned, KnownSuspects suspects) {
        long now = clock.millis();
        learned.keySet().retainAll(condemned);
        for (RequestFingerprint request : condemned) {
            long index =
                    suspects.findPublished(request).map(Suspect::changedIndex).orElse(0L);
            Learned former = learned.get(request);
            if (former == null || former.index() != index) {
                learned.put(request, new Learned(index, now));
            }
        }
    }

    /**
     * Returns true if the next trial of a request is due.
     *
     * @param agreed what the control group holds against it, empty if it does not condemn it, not null
     */
    public boolean isDue(Optional<Suspect> agreed) {
        if (agreed.isEmpty() || !agreed.get().isTrialAvailable(agreed.get().trials() + 1)) {
            return false;
        }
        Learned known = learned.get(agreed.get().fingerprint());
        return known != null
                && clock.millis() - known.atMillis()
                        >= STANDS_MILLIS[agreed.get().trials()];
    }
}

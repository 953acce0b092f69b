package org.bankturn.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bankturn.time.Clock;

/**
 * Schedules the trials of condemned requests, which check whether a request causes the crashes.
 *
 * <p>If many targets crash at once for an unrelated reason while copies of a request are in flight at several of them,
 * that request is condemned although it is harmless. Since it is no longer sent, only a trial can clear it. The first
 * trial waits until the crashed targets have restarted; the second covers a first trial that was interrupted by an
 * unrelated failure. TrialScheduler is mutable and not thread-safe.
 */
public final class TrialScheduler {
    /** The delays after the last change of a suspect before the first and the second trial. */
    private static final long[] TRIAL_DELAYS_MILLIS = {5_000, 60_000};

    private final Clock clock;
    private final Map<RequestFingerprint, Received> received = new HashMap<>();

    /** The time at which the state of a suspect as of a log index was received. */
    private record Received(long index, long atMillis) {}

    /** Returns a scheduler without condemned requests, not null. */
    public static TrialScheduler of(Clock clock) {
        return new TrialScheduler(clock);
    }

    private TrialScheduler(Clock clock) {
        this.clock = clock;
    }

    /** Updates the condemned requests from the known suspects. */
    public void update(Collection<RequestFingerprint> condemned, KnownSuspects suspects) {
        long now = clock.millis();
        received.keySet().retainAll(condemned);
        for (RequestFingerprint request : condemned) {
            long index =
                    suspects.findPublished(request).map(Suspect::changedIndex).orElse(0L);
            Received previous = received.get(request);
            if (previous == null || previous.index() != index) {
                received.put(request, new Received(index, now));
            }
        }
    }

    /**
     * Returns true if the next trial of a request is due.
     *
     * @param agreed the published suspect, empty if the control group has not condemned the request, not null
     */
    public boolean isDue(Optional<Suspect> agreed) {
        if (agreed.isEmpty() || !agreed.get().isTrialAvailable(agreed.get().trials() + 1)) {
            return false;
        }
        Received current = received.get(agreed.get().fingerprint());
        return current != null
                && clock.millis() - current.atMillis()
                        >= TRIAL_DELAYS_MILLIS[agreed.get().trials()];
    }
}

package org.bankturn.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.bankturn.time.Clock;

/**
 * Schedules the trials of condemned requests or prompt parts, which check whether they cause the crashes.
 *
 * <p>If many targets crash at once for an unrelated reason while copies of a request are in flight at several of them,
 * that request is condemned although it is harmless. Since it is no longer sent, only a trial can clear it. The first
 * trial waits until the crashed targets have restarted; the second covers a first trial that was interrupted by an
 * unrelated failure. TrialScheduler is mutable and not thread-safe.
 *
 * @param <K> the type of what is condemned
 */
public final class TrialScheduler<K> {
    /** The delays after the last change of a suspect before the first and the second trial. */
    private static final long[] TRIAL_DELAYS_MILLIS = {5_000, 60_000};

    private final Clock clock;
    private final Map<K, Received> received = new HashMap<>();

    /** The time at which the state of a suspect as of a log index was received. */
    private record Received(long index, long atMillis) {}

    /** Returns a scheduler without condemned subjects, not null. */
    public static <K> TrialScheduler<K> of(Clock clock) {
        return new TrialScheduler<>(clock);
    }

    private TrialScheduler(Clock clock) {
        this.clock = clock;
    }

    /**
     * Updates the condemned subjects.
     *
     * @param condemned the keys of the condemned subjects, not null
     * @param published returns the published state of a subject, empty if it is not published, not null
     */
    public void update(Collection<K> condemned, Function<K, ? extends Optional<? extends TrialSubject>> published) {
        long now = clock.millis();
        received.keySet().retainAll(condemned);
        for (K key : condemned) {
            Optional<? extends TrialSubject> subject = published.apply(key);
            long index = subject.isPresent() ? subject.get().changedIndex() : 0;
            Received previous = received.get(key);
            if (previous == null || previous.index() != index) {
                received.put(key, new Received(index, now));
            }
        }
    }

    /**
     * Returns true if the next trial of a subject is due.
     *
     * @param key the key of the subject, not null
     * @param agreed the published subject, empty if the control group has not condemned it, not null
     */
    public boolean isDue(K key, Optional<? extends TrialSubject> agreed) {
        if (agreed.isEmpty() || !agreed.get().isTrialAvailable(agreed.get().trials() + 1)) {
            return false;
        }
        Received current = received.get(key);
        return current != null
                && clock.millis() - current.atMillis()
                        >= TRIAL_DELAYS_MILLIS[agreed.get().trials()];
    }
}

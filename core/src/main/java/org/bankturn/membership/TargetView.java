package org.bankturn.membership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.bankturn.time.Clock;

/**
 * What one entry process knows of targets, from every source that may say that one is leaving.
 *
 * <p>Whoever says first that a target is leaving is believed: the platform's list, the target process itself, a refusal.
 * Only the target's own later word brings it back. A target that fails again and again rests for a while, longer each
 * time.
 *
 * <p>TargetView is thread-safe.
 */
public final class TargetView {
    private static final long FIRST_REST_MILLIS = 200;
    private static final long LONGEST_REST_MILLIS = 5_000;
    private static final int MAXIMUM_DOUBLINGS = 5;
    private static final Known UNKNOWN = new Known(null, 0, false, 0, 0);

    private final Clock clock;
    private final Map<String, Known> targets = new ConcurrentHashMap<>();
    private volatile Set<String> listedLeaving = Set.of();

    private record Known(
            TargetStatus status, long statusMillis, boolean refusedLeaving, int failures, long restsUntilMillis) {}

    /**
     * Creates a view that knows no target.
     *
     * @param clock the time, not null
     * @return the view, not null
     */
    public static TargetView using(Clock clock) {
        return new TargetView(clock);
    }

    private TargetView(Clock clock) {
        this.clock = clock;
    }

    /**
     * Takes in a target's own word.
     *
     * @param status the status, not null
     */
    public void recordStatus(TargetStatus status) {
        long now = clock.millis();
        targets.compute(status.box(), (box, known) -> new Known(status, now, false, 0, 0));
    }

    /**
     * Takes in that a target refused work because it is leaving.
     *
     * @param box the target's box, not null
     */
    public void recordLeavingRefusal(String box) {
        targets.compute(box, (name, old) -> {
            Known known = old == null ? UNKNOWN : old;
            return new Known(known.status(), known.statusMillis(), true, known.failures(), known.restsUntilMillis());
        });
    }

    /**
     * Takes in that a target could not be reached or broke off.
     *
     * @param box the target's box, not null
     */
    public void recordFailure(String box) {
        long now = clock.millis();
        targets.compute(box, (name, old) -> {
            Known known = old == null ? UNKNOWN : old;
            int failures = known.failures() + 1;
            long rest = FIRST_REST_MILLIS << Math.min(failures - 1, MAXIMUM_DOUBLINGS);
            long until = now + Math.min(rest, LONGEST_REST_MILLIS);
            return new Known(known.status(), known.statusMillis(), known.refusedLeaving(), failures, until);
        });
    }

    /**
     * Takes in the platform's list of leaving boxes, which lags.
     *
     * @param boxes the boxes on it, not null
     */
    public void listedLeaving(Set<String> boxes) {
        listedLeaving = Set.copyOf(boxes);
    }

    /**
     * Tells whether a target may be sent new work.
     *
     * @param box the target's box, not null
     * @return false if anyone said it is leaving, or it rests after failures
     */
    public boolean isAvailable(String box) {
        if (listedLeaving.contains(box)) {
            return false;
        }
        Known known = targets.getOrDefault(box, UNKNOWN);
        boolean ownWord = known.status() != null && known.status().leaving();
        return !ownWord && !known.refusedLeaving() && clock.millis() >= known.restsUntilMillis();
    }

    /**
     * Tells whether a target serves a version, as far as known.
     *
     * @param box the target's box, not null
     * @param manifest the version's manifest, not null
     * @return true if its last status said so
     */
    public boolean serves(String box, String manifest) {
        return status(box).filter(status -> status.loaded().contains(manifest)).isPresent();
    }

    /**
     * Returns a target's last status.
     *
     * @param box the target's box, not null
     * @return the status, empty if none came
     */
    public Optional<TargetStatus> status(String box) {
        return Optional.ofNullable(targets.getOrDefault(box, UNKNOWN).status());
    }
}

package org.bankturn.membership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.bankturn.time.Clock;

/**
 * The status and availability of targets, as known to one entry process.
 *
 * <p>A target is unavailable while the platform lists it as leaving, while its last status says so, or from a refusal
 * until its next status. After a failure, a target is also unavailable for an exponentially increasing time.
 *
 * <p>TargetView is thread-safe.
 */
public final class TargetView {
    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final Entry UNKNOWN = new Entry(null, 0, false, 0, 0);

    private final Clock clock;
    private final Map<String, Entry> targets = new ConcurrentHashMap<>();
    private volatile Set<String> listedLeaving = Set.of();

    private record Entry(
            TargetStatus status, long statusMillis, boolean refusedAsLeaving, int failures, long backoffUntilMillis) {}

    /**
     * Creates a view without targets.
     *
     * @param clock the clock, not null
     * @return the view, not null
     */
    public static TargetView using(Clock clock) {
        return new TargetView(clock);
    }

    private TargetView(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records a status reported by a target and clears its failures.
     *
     * @param status the status, not null
     */
    public void recordStatus(TargetStatus status) {
        long now = clock.millis();
        targets.compute(status.box(), (box, entry) -> new Entry(status, now, false, 0, 0));
    }

    /**
     * Records that a target refused a request because it is leaving.
     *
     * @param box the box of the target, not null
     */
    public void recordLeavingRefusal(String box) {
        targets.compute(box, (name, existing) -> {
            Entry entry = existing == null ? UNKNOWN : existing;
            return new Entry(entry.status(), entry.statusMillis(), true, entry.failures(), entry.backoffUntilMillis());
        });
    }

    /**
     * Records that a target was unreachable or closed the connection.
     *
     * @param box the box of the target, not null
     */
    public void recordFailure(String box) {
        long now = clock.millis();
        targets.compute(box, (name, existing) -> {
            Entry entry = existing == null ? UNKNOWN : existing;
            int failures = entry.failures() + 1;
            long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(failures - 1, MAX_DOUBLINGS);
            long until = now + Math.min(backoffMillis, MAX_BACKOFF_MILLIS);
            return new Entry(entry.status(), entry.statusMillis(), entry.refusedAsLeaving(), failures, until);
        });
    }

    /**
     * Replaces the platform's list of leaving boxes.
     *
     * @param boxes the names of the boxes, not null
     */
    public void setListedLeaving(Set<String> boxes) {
        listedLeaving = Set.copyOf(boxes);
    }

    /**
     * Returns whether a target accepts new requests.
     *
     * @param box the box of the target, not null
     * @return false if the target is leaving or backing off after a failure
     */
    public boolean isAvailable(String box) {
        if (listedLeaving.contains(box)) {
            return false;
        }
        Entry entry = targets.getOrDefault(box, UNKNOWN);
        boolean reportsLeaving = entry.status() != null && entry.status().leaving();
        return !reportsLeaving && !entry.refusedAsLeaving() && clock.millis() >= entry.backoffUntilMillis();
    }

    /**
     * Returns whether a target serves a version, according to its last status.
     *
     * @param box the box of the target, not null
     * @param manifest the manifest of the version, not null
     * @return true if the target serves the version
     */
    public boolean serves(String box, String manifest) {
        return status(box).filter(status -> status.loaded().contains(manifest)).isPresent();
    }

    /**
     * Returns the last status of a target.
     *
     * @param box the box of the target, not null
     * @return the status, empty if none was received
     */
    public Optional<TargetStatus> status(String box) {
        return Optional.ofNullable(targets.getOrDefault(box, UNKNOWN).status());
    }
}

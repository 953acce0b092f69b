package org.bankturn.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * The leader's count of how long it must wait before it may pass a lease on.
 *
 * <p>Time counts from when this leader first saw the lease, which is after the holder asked for it; a new leader counts
 * from anew. Clocks may run apart by {@link #DRIFT_DIVISOR}: the leader waits that much longer, the holder stops that
 * much earlier ({@link HeldLease}).
 *
 * <p>LeaseExpiry is mutable and not thread-safe.
 */
public final class LeaseExpiry {
    /** Clocks of two boxes may run apart by one part in this many. */
    public static final long DRIFT_DIVISOR = 50;

    private final Map<Long, Long> firstSeenMillis = new HashMap<>();

    /** Forgets all counts, as on becoming leader. */
    public void reset() {
        firstSeenMillis.clear();
    }

    /**
     * Returns how long a lease must still be waited out.
     *
     * @param lease the lease, not null
     * @param nowMillis the leader's time
     * @return milliseconds, 0 if it may be passed on
     */
    public long remainingMillis(Lease lease, long nowMillis) {
        if (lease.released()) {
            return 0;
        }
        long seen = firstSeenMillis.computeIfAbsent(lease.fence(), fence -> nowMillis);
        long end = seen + lease.durationMillis() + lease.durationMillis() / DRIFT_DIVISOR;
        return Math.max(0, end - nowMillis);
    }
}

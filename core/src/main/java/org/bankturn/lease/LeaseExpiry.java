package org.bankturn.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks on the leader when leases expire.
 *
 * <p>The duration is measured from the time at which this leader first saw the lease, which is after the holder's
 * request. To tolerate clock drift of up to one part in {@link #DRIFT_DIVISOR}, the leader waits that much longer and
 * the holder stops that much earlier; see {@link HeldLease}.
 *
 * <p>LeaseExpiry is mutable and not thread-safe.
 */
public final class LeaseExpiry {
    /** The reciprocal of the maximum relative clock drift. */
    public static final long DRIFT_DIVISOR = 50;

    private final Map<Long, Long> firstSeenMillis = new HashMap<>();

    /** Discards all times; called when the process becomes leader. */
    public void reset() {
        firstSeenMillis.clear();
    }

    /**
     * Returns the remaining time until a lease expires.
     *
     * @param lease the lease, not null
     * @param nowMillis the leader's current time
     * @return the remaining time in milliseconds, 0 if the lease is expired or released
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

package org.bankturn.lease;

/**
 * A lease as its holder sees it.
 *
 * <p>HeldLease is thread-safe and immutable.
 *
 * @param lease the lease, not null
 * @param requestedMillis the holder's time before it sent the request
 */
public record HeldLease(Lease lease, long requestedMillis) {
    private static final long TRANSIT_DIVISOR = 4;

    /**
     * Returns how long an order may be on its way: an engine takes it up within this time of its being sent, or never.
     *
     * @param durationMillis the duration of leases
     * @return milliseconds, a quarter of the duration
     */
    public static long maxDeliveryMillis(long durationMillis) {
        return durationMillis / TRANSIT_DIVISOR;
    }

    /**
     * Tells whether an order may still be given.
     *
     * @param nowMillis the holder's time
     * @return true while the duration, counted from before the request, less the bound on drift and less the time that
     *     an order may be on its way, has not passed
     */
    public boolean isValidAt(long nowMillis) {
        long duration = lease.durationMillis();
        long usable = duration - duration / LeaseExpiry.DRIFT_DIVISOR - maxDeliveryMillis(duration);
        return nowMillis - requestedMillis < usable;
    }
}

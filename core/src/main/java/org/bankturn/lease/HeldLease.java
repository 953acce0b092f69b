package org.bankturn.lease;

/**
 * A lease from the point of view of its holder.
 *
 * <p>HeldLease is thread-safe and immutable.
 *
 * @param lease the lease, not null
 * @param requestedMillis the holder's time before it sent the lease request
 */
public record HeldLease(Lease lease, long requestedMillis) {
    private static final long TRANSIT_DIVISOR = 4;

    /**
     * Returns the maximum time between sending an order and the engine executing it.
     *
     * @param durationMillis the lease duration
     * @return a quarter of the duration, in milliseconds
     */
    public static long maxDeliveryMillis(long durationMillis) {
        return durationMillis / TRANSIT_DIVISOR;
    }

    /**
     * Returns whether the holder may still send orders.
     *
     * @param nowMillis the holder's current time
     * @return true if less time than the duration, minus the maximum clock drift and the maximum delivery time, has
     *     passed since the request
     */
    public boolean isValidAt(long nowMillis) {
        long durationMillis = lease.durationMillis();
        long usableMillis =
                durationMillis - durationMillis / LeaseExpiry.DRIFT_DIVISOR - maxDeliveryMillis(durationMillis);
        return nowMillis - requestedMillis < usableMillis;
    }
}

package org.bankturn.lease;

/**
 * A lease as its holder sees it.
 *
 * <p>HeldLease is thread-safe and immutable.
 *
 * @param lease the lease, not null
 * @param askedMillis the holder's time before it sent the request
 */
public record HeldLease(Lease lease, long askedMillis) {
    /**
     * Tells whether an order may still be given.
     *
     * @param nowMillis the holder's time
     * @return true until the duration, less the bound on drift, has passed since the request
     */
    public boolean isValidAt(long nowMillis) {
        long usable = lease.durationMillis() - lease.durationMillis() / LeaseExpiry.DRIFT_DIVISOR;
        return nowMillis - askedMillis < usable;
    }
}

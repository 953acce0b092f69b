package org.bankturn.lease;

/**
 * Rejects orders with a lower fence than one already seen.
 *
 * <p>Used by engines, and by target processes for engines that do not check fences.
 *
 * <p>FenceGuard is thread-safe.
 */
public final class FenceGuard {
    private long highestFence;

    /** Creates a guard that admits any non-negative fence. */
    public FenceGuard() {}

    /**
     * Checks and records the fence of an order.
     *
     * @param fence the fence of the order
     * @return false if a higher fence was seen and the order must be rejected
     */
    public synchronized boolean admits(long fence) {
        if (fence < highestFence) {
            return false;
        }
        highestFence = fence;
        return true;
    }
}

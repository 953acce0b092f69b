package org.bankturn.lease;

/**
 * Refuses orders whose fence is older than one already seen.
 *
 * <p>It stands before an engine, or in a target process before an engine that does not check for itself.
 *
 * <p>FenceGuard is thread-safe: its methods exclude each other.
 */
public final class FenceGuard {
    private long highestFence;

    /** Creates a guard that has seen no order. */
    public FenceGuard() {}

    /**
     * Decides on an order.
     *
     * @param fence the order's fence
     * @return false if a newer one was seen, and the order must not be carried out
     */
    public synchronized boolean admits(long fence) {
        if (fence < highestFence) {
            return false;
        }
        highestFence = fence;
        return true;
    }
}

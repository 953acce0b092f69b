package org.bankturn.weights;

import java.util.Optional;

/**
 * Remembers a start order that an engine has not answered.
 *
 * <p>The engine may execute the order at any later time, with whatever is staged then. So no other version may be staged
 * until the order can no longer take effect: once the engine has begun an order since, has started anew, or holds the
 * version already. Sending the order again, for the same revision, brings that about.
 *
 * <p>UnansweredStart is mutable and not thread-safe.
 */
public final class UnansweredStart {
    private StartOrder order;

    /** Returns a state in which every order was answered, not null. */
    public static UnansweredStart none() {
        return new UnansweredStart();
    }

    private UnansweredStart() {}

    /** Records an order without an answer; orders for the same revision are of the same version. */
    public void record(StartOrder unanswered) {
        order = unanswered;
    }

    /** Forgets the order, which can no longer take effect. */
    public void settle() {
        order = null;
    }

    /** Updates the state from a report of the engine. */
    public void observe(long revision, int heldVersion) {
        if (order != null && (revision != order.expectedRevision() || heldVersion == order.version())) {
            settle();
        }
    }

    /** Returns true if pieces of a version may be staged without an unanswered order loading them as another version. */
    public boolean allowsStaging(int version) {
        return order == null || order.version() == version;
    }

    /** Returns the order that the engine may still execute, empty if there is none. */
    public Optional<StartOrder> order() {
        return Optional.ofNullable(order);
    }

    @Override
    public String toString() {
        return "UnansweredStart[" + (order == null ? "none" : order) + "]";
    }
}

package org.bankturn.weights;

import java.util.Optional;

/**
 * Remembers a start order that was sent to an engine and not answered.
 *
 * <p>The engine may execute the order at any later time, with whatever is staged then. So no other version may be staged
 * until the order can no longer take effect: once the engine has begun an order since, has started anew, or holds the
 * version already. Sending the order again, for the same revision, brings that about.
 *
 * <p>UnansweredStart is mutable and not thread-safe.
 */
public final class UnansweredStart {
    private StartOrder order;

    /** How often the order was sent without an answer, the sending in flight included. */
    private int sendings;

    /** Returns a state in which every order was answered, not null. */
    public static UnansweredStart none() {
        return new UnansweredStart();
    }

    private UnansweredStart() {}

    /** Records that an order is sent; while one is unanswered, it is the only one that may be sent. */
    public void sent(StartOrder unanswered) {
        order = unanswered;
        sendings++;
    }

    /** Records that the engine has rejected the last sending; an earlier one may still be executed. */
    public void rejected() {
        sendings--;
        if (sendings <= 0) {
            settle();
        }
    }

    /** Forgets the order, which can no longer take effect. */
    public void settle() {
        order = null;
        sendings = 0;
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

package org.bankturn.weights;

/** How an engine treats its active requests when it is ordered to change weights. */
public enum ChangeMethod {
    /** Completes active requests first and accepts no new ones meanwhile. */
    AFTER_ANSWERS(0.75),

    /** Aborts active requests and changes immediately; callers resume at another target after the last event. */
    AT_ONCE(0.88);

    private final double latestStartShare;

    ChangeMethod(double latestStartShare) {
        this.latestStartShare = latestStartShare;
    }

    /**
     * Returns the share of the allowed time after which the last engine is ordered to change.
     *
     * <p>The rest is reserved for active requests to complete, up to 2 s of 8 s, or for staged weights to load, which takes 0.3
     * to 0.4 s, and for one retry of the order.
     */
    double latestStartShare() {
        return latestStartShare;
    }
}

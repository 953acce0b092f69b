package org.bankturn.weights;

/** What an engine does with the answers under way when it is told to take up other weights. */
public enum ChangeMethod {
    /** It ends them first and takes nothing new meanwhile, which takes as long as the longest answer. */
    AFTER_ANSWERS(0.75),

    /** It breaks them off and changes at once; whoever asked goes on elsewhere after the last event. */
    AT_ONCE(0.88);

    private final double latestStartShare;

    ChangeMethod(double lastShare) {
        this.latestStartShare = lastShare;
    }

    /**
     * Returns the share of the time allowed at which the last engine is told to change.
     *
     * <p>What is left of 8 s is for answers of up to 2 s to end, or for weights that are staged to be loaded, which takes 0.3
     * to 0.4 s, and for one more order if the first fails.
     */
    double latestStartShare() {
        return latestStartShare;
    }
}

package org.bankturn.routing;

/**
 * What an engine said of its load.
 *
 * @param active requests that run
 * @param queued requests that wait for a place
 * @param usedTokens tokens in memory that cannot give way
 * @param capacityTokens tokens that fit in memory
 * @param pace how slow it is, 1 is as described
 * @param changing true while it takes nothing new, because it changes its weights
 */
public record EngineLoad(int active, int queued, long usedTokens, long capacityTokens, double pace, boolean changing) {
    /** Nothing runs or waits there. */
    public static final EngineLoad NONE = new EngineLoad(0, 0, 0, 0, 1, false);
}

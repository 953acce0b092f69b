package org.bankturn.routing;

/**
 * The load that an engine reported.
 *
 * @param active the running requests
 * @param queued the requests waiting for a slot
 * @param usedTokens the tokens in memory that cannot be evicted
 * @param capacityTokens the tokens that fit in memory
 * @param pace the slowdown relative to the performance model, 1 is nominal
 * @param changing true while it changes weights and accepts no requests
 */
public record EngineLoad(int active, int queued, long usedTokens, long capacityTokens, double pace, boolean changing) {
    /** The load of an idle engine. */
    public static final EngineLoad NONE = new EngineLoad(0, 0, 0, 0, 1, false);

    /** Returns a copy with another pace, not null. */
    EngineLoad withPace(double other) {
        return other == pace ? this : new EngineLoad(active, queued, usedTokens, capacityTokens, other, changing);
    }
}

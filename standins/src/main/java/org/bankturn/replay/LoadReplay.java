package org.bankturn.replay;

import org.bankturn.routing.PlacementSettings;

/** Replays load patterns deterministically: the same pattern, settings and seed give the same result. */
public final class LoadReplay {
    private LoadReplay() {}

    /**
     * Replays a pattern.
     *
     * @param pattern the pattern, not null
     * @param settings the placement settings of the gateways, not null
     * @param seed the seed of the random numbers
     * @return the result, not null
     */
    public static ReplayResult run(LoadPattern pattern, PlacementSettings settings, long seed) {
        return new ReplaySimulation(pattern, settings, seed).run();
    }
}

package org.bankturn.replay;

import org.bankturn.routing.PlacementSettings;

/** Replays load patterns; the same pattern, settings and seed give the same result. */
public final class LoadReplay {
    private LoadReplay() {}

    /**
     * Replays a pattern.
     *
     * @param pattern the pattern, not null
     * @param settings how gateways place requests, not null
     * @param seed of the random numbers
     * @return the result, not null
     */
    public static ReplayResult run(LoadPattern pattern, PlacementSettings settings, long seed) {
        return new ReplaySimulation(pattern, settings, seed).run();
    }
}

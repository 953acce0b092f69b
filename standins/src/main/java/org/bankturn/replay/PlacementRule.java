package org.bankturn.replay;

import org.bankturn.routing.PlacementSettings;

/** Placement policies that replays compare. */
public enum PlacementRule {
    /** The default settings. */
    PRESENT,
    /** The default, but ignores announced interruptions of engines. */
    BLIND_TO_BREAK_OFFS,
    /** The default, but polls engines periodically instead of before each placement. */
    ASK_IN_TURN,
    /** Each gateway watches every engine and chooses the best. */
    WATCH_ALL,
    /** Power of two choices over all engines, with periodically polled load. */
    TWO_OF_ALL,
    /** A random engine of the local data hall. */
    RANDOM;

    private static final int ALL = Integer.MAX_VALUE;
    private static final double NO_TIME_LIMIT = Double.MAX_VALUE;
    private static final long RARE_POLL_MILLIS = 10_000;

    /** Returns the placement settings for this policy, not null. */
    public PlacementSettings settings() {
        return switch (this) {
            case PRESENT -> PlacementSettings.DEFAULT;
            case BLIND_TO_BREAK_OFFS ->
                new PlacementSettings(8, 2, 3, 4, 16, 3, 2, 150, 0.1, 12, 0.5, false, 2_000, 4_000);
            case ASK_IN_TURN -> new PlacementSettings(8, 2, 3, 4, 0, 3, 0, 0, 0.1, 12, 0.5, false, 500, 2_000);
            case WATCH_ALL -> PlacementSettings.WATCH_ALL;
            case TWO_OF_ALL -> new PlacementSettings(ALL, 0, 0, ALL, 0, 2, 0, 0, 0, 12, NO_TIME_LIMIT, false, 120, 300);
            case RANDOM ->
                new PlacementSettings(
                        ALL, 0, 0, ALL, 0, 1, 0, 0, 0, 12, NO_TIME_LIMIT, false, RARE_POLL_MILLIS, RARE_POLL_MILLIS);
        };
    }
}

package org.bankturn.replay;

import org.bankturn.routing.PlacementSettings;

/** Ways to place requests that are compared in replays. */
public enum PlacementRule {
    /** What gateways use. */
    PRESENT,
    /** The same, without regard to engines that will soon break off what they run. */
    BLIND_TO_BREAK_OFFS,
    /** The same as the first, with questions in turn in place of questions before a request is placed. */
    ASK_IN_TURN,
    /** What gateways used before: each watches every engine and takes the best. */
    WATCH_ALL,
    /** Power of two choices over every engine, with the news that gateways had before. */
    TWO_OF_ALL,
    /** Any engine of the own data hall, at random. */
    RANDOM;

    private static final int ALL = Integer.MAX_VALUE;
    private static final double ANY_TIME = Double.MAX_VALUE;
    private static final long SELDOM_MILLIS = 10_000;

    /** Returns the settings of gateways that place requests like that, not null. */
    public PlacementSettings settings() {
        return switch (this) {
            case PRESENT -> PlacementSettings.DEFAULT;
            case BLIND_TO_BREAK_OFFS ->
                new PlacementSettings(8, 2, 3, 4, 16, 3, 2, 150, 0.1, 12, 0.5, false, 2_000, 4_000);
            case ASK_IN_TURN -> new PlacementSettings(8, 2, 3, 4, 0, 3, 0, 0, 0.1, 12, 0.5, false, 500, 2_000);
            case WATCH_ALL -> PlacementSettings.WATCH_ALL;
            case TWO_OF_ALL -> new PlacementSettings(ALL, 0, 0, ALL, 0, 2, 0, 0, 0, 12, ANY_TIME, false, 120, 300);
            case RANDOM ->
                new PlacementSettings(ALL, 0, 0, ALL, 0, 1, 0, 0, 0, 12, ANY_TIME, false, SELDOM_MILLIS, SELDOM_MILLIS);
        };
    }
}

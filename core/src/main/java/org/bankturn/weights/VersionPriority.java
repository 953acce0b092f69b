package org.bankturn.weights;

/**
 * Says which of two versions is fetched first when a newer one is named before the older one is here.
 *
 * <p>Load pattern: versions are named within seconds of each other while the origin, or a box's link, needs seconds for each,
 * or the origin fails in between. Fetched side by side both are late, and nothing serves once the first is due. One that is
 * well under way is finished first, since it serves until the next one is here; any other is left for the newer one.
 *
 * <p>VersionPriority has no state.
 */
public final class VersionPriority {
    /** Relays have a whole copy by the time that a box on a link of half the origin's rate has about half of it. */
    private static final double WELL_UNDER_WAY_SHARE = 0.35;

    private VersionPriority() {}

    /**
     * Returns true if the older version is finished before the newer one is fetched.
     *
     * @param shareHere the share of the older version that is here, 0 to 1
     */
    public static boolean shouldFinishOlder(double shareHere) {
        return shareHere > WELL_UNDER_WAY_SHARE;
    }
}

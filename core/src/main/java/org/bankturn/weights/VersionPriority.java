package org.bankturn.weights;

/**
 * Decides which of two versions is fetched first when a newer one is published before the older one is complete.
 *
 * <p>Fetching both concurrently would make both miss their deadlines. An older version of which a sufficient share was
 * fetched is finished first, since it can serve until the newer one is complete; otherwise it yields to the newer one.
 */
public final class VersionPriority {
    /** The share above which an older version is finished first; relays are likely to hold all of its pieces by then. */
    private static final double FINISH_OLDER_SHARE = 0.35;

    private VersionPriority() {}

    /**
     * Returns true if the older version is finished before the newer one is fetched.
     *
     * @param fetchedShare the share of the older version that was fetched, 0 to 1
     */
    public static boolean shouldFinishOlder(double fetchedShare) {
        return fetchedShare > FINISH_OLDER_SHARE;
    }
}

package org.bankturn.weights;

/**
 * Decides which of two versions is fetched first when a newer one is published before the older one is complete.
 *
 * <p>Fetching both concurrently would make both miss their deadlines. An older version of which a sufficient share was
 * fetched is finished first, since it can serve until the newer one is complete; otherwise it yields to the newer one.
 *
 * <p>The processes that fetch a version from the origin hold only a few pieces each, so their own shares differ. If some of
 * them preferred the older version and some the newer one, each version would wait for pieces of the other. They therefore
 * also compare the head start of the older version with the time that the origin takes for a copy, which all of them know.
 */
public final class VersionPriority {
    /** The share above which an older version is finished first; relays are likely to hold all of its pieces by then. */
    private static final double FINISH_OLDER_SHARE = 0.35;

    private VersionPriority() {}

    /**
     * Returns true if the older version is finished before the newer one is fetched.
     *
     * @param fetchedShare the share of the older version that was fetched here, 0 to 1
     * @param headStartMillis the time between the starts of the older and the newer version
     * @param copyMillis the time that the origin takes to send a version, 0 if unknown
     */
    public static boolean shouldFinishOlder(double fetchedShare, long headStartMillis, long copyMillis) {
        boolean hasHeadStart = copyMillis > 0 && headStartMillis >= copyMillis * FINISH_OLDER_SHARE;
        return fetchedShare > FINISH_OLDER_SHARE || hasHeadStart;
    }
}

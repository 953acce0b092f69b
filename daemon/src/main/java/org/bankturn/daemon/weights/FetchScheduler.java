package org.bankturn.daemon.weights;

import java.util.ArrayList;
import java.util.List;
import org.bankturn.weights.VersionOrder;

/**
 * The versions that one process fetches at a time, and which of them goes first on its links and at the origin.
 *
 * <p>FetchScheduler is confined to its reactor's thread.
 */
final class FetchScheduler {
    private final List<PieceFetcher> fetchers = new ArrayList<>();

    /** A version is fetched from now on. */
    void add(PieceFetcher fetcher) {
        fetchers.add(fetcher);
    }

    /** A version is not fetched any longer. */
    void remove(PieceFetcher fetcher) {
        fetchers.remove(fetcher);
        resumeOthers(fetcher);
    }

    /** Returns true if no version that goes before asks the origin for anything. */
    boolean mayFetchFromOrigin(PieceFetcher fetcher) {
        return fetchers.stream().noneMatch(other -> goesBefore(other, fetcher) && other.hasOriginFetches());
    }

    /** Returns true if no version that goes before has a piece to transfer. */
    boolean mayTransfer(PieceFetcher fetcher) {
        return fetchers.stream().noneMatch(other -> goesBefore(other, fetcher) && other.hasTransfers());
    }

    /** Lets the others make use of what a fetcher may have left to them. */
    void resumeOthers(PieceFetcher fetcher) {
        List.copyOf(fetchers).stream().filter(other -> other != fetcher).forEach(PieceFetcher::resume);
    }

    private static boolean goesBefore(PieceFetcher one, PieceFetcher other) {
        if (one == other || !one.makesProgress()) {
            return false;
        }
        return one.version() < other.version()
                ? VersionOrder.finishesOlder(one.fetchedShare())
                : !VersionOrder.finishesOlder(other.fetchedShare());
    }
}

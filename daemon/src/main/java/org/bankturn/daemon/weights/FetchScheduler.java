package org.bankturn.daemon.weights;

import java.util.ArrayList;
import java.util.List;
import org.bankturn.weights.VersionPriority;

/**
 * Prioritizes the versions that one process fetches concurrently, for its links and for the origin.
 *
 * <p>This class is confined to its reactor's thread.
 */
final class FetchScheduler {
    private final List<PieceFetcher> fetchers = new ArrayList<>();

    /** Registers a fetcher that starts. */
    void add(PieceFetcher fetcher) {
        fetchers.add(fetcher);
    }

    /** Unregisters a fetcher and lets the others use the capacity that it frees. */
    void remove(PieceFetcher fetcher) {
        fetchers.remove(fetcher);
        resumeOthers(fetcher);
    }

    /** Returns true if no version of higher priority has pieces to fetch from the origin. */
    boolean mayFetchFromOrigin(PieceFetcher fetcher) {
        return fetchers.stream().noneMatch(other -> hasPriority(other, fetcher) && other.hasOriginFetches());
    }

    /** Returns true if no version of higher priority has pieces to transfer. */
    boolean mayTransfer(PieceFetcher fetcher) {
        return fetchers.stream().noneMatch(other -> hasPriority(other, fetcher) && other.hasTransfers());
    }

    /** Resumes the other fetchers, since a fetcher may have freed capacity. */
    void resumeOthers(PieceFetcher fetcher) {
        List.copyOf(fetchers).stream().filter(other -> other != fetcher).forEach(PieceFetcher::resume);
    }

    private static boolean hasPriority(PieceFetcher one, PieceFetcher other) {
        if (one == other || !one.makesProgress()) {
            return false;
        }
        return one.version() < other.version()
                ? VersionPriority.shouldFinishOlder(one.fetchedShare())
                : !VersionPriority.shouldFinishOlder(other.fetchedShare());
    }
}

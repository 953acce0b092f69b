package org.bankturn.routing;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.bankturn.time.Clock;

/**
 * Decides whether a connection that a process kept may carry its next request.
 *
 * <p>Load pattern: all connections that are open go silent for good at one moment, without a reset, while new ones work. Each
 * request on a kept connection is then lost until its time is up, so that a process which finds out about one connection
 * after the other serves hardly anything for as long as its kept connections last. What one connection shows holds for all
 * that were not heard since: they are not used again, and a new connection costs a round trip.
 *
 * <p>ConnectionTrust is mutable and not thread-safe.
 */
public final class ConnectionReusePolicy {
    /** Peers that answer several requests at once leave no such pause between parts of answers. */
    private static final long ALL_SILENT_MILLIS = 300;

    /** One or two requests may wait that long at busy peers; that three do at two peers, with no word from any, is rare. */
    private static final int WAITING_AT_LEAST = 3;

    private static final int PEERS_AT_LEAST = 2;

    private final Clock clock;
    private final long mostRestMillis;
    private final Set<PendingRequest> waiting = new LinkedHashSet<>();
    private final ReceiveTimes words = ReceiveTimes.retaining(ALL_SILENT_MILLIS);
    private long distrustedUntilMillis = Long.MIN_VALUE / 2;

    /** A request that waits for a word from a peer. */
    public static final class PendingRequest {
        private final String peer;
        private final long sinceMillis;

        private PendingRequest(String peer, long sinceMillis) {
            this.peer = peer;
            this.sinceMillis = sinceMillis;
        }
    }

    /**
     * Returns the trust of a process that has no connections yet, not null.
     *
     * @param clock the time, not null
     * @param mostRestMillis how long ago a connection may have been heard last to be used again
     */
    public static ConnectionReusePolicy of(Clock clock, long mostRestMillis) {
        return new ConnectionReusePolicy(clock, mostRestMillis);
    }

    private ConnectionReusePolicy(Clock clock, long mostRestMillis) {
        this.clock = clock;
        this.mostRestMillis = mostRestMillis;
    }

    // ---- queries

    /**
     * Returns true if a connection may carry a request.
     *
     * @param connectionHeardMillis when something came on it last, or when it was opened
     */
    public boolean isReusable(long connectionHeardMillis) {
        noteIfAllAreSilent();
        return !isSuspect(connectionHeardMillis) && clock.millis() - connectionHeardMillis <= mostRestMillis;
    }

    /** Returns true if a connection was heard last before others were found silent. */
    public boolean isSuspect(long connectionHeardMillis) {
        return connectionHeardMillis <= distrustedUntilMillis;
    }

    // ---- what is learned

    /** A request goes out to a peer that should say something within the time of a few. */
    public PendingRequest requestSent(String peer) {
        PendingRequest wait = new PendingRequest(peer, clock.millis());
        waiting.add(wait);
        return wait;
    }

    /** A peer, whichever, said something on a connection that was opened at a moment. */
    public void dataReceived(long openedMillis) {
        words.record(openedMillis, clock.millis());
    }

    /** A request no longer waits. */
    public void requestEnded(PendingRequest wait) {
        waiting.remove(wait);
    }

    /**
     * A connection that had been well said nothing to a request for as long as that may take.
     *
     * @param askedMillis when the request went out
     */
    public void timedOut(long askedMillis) {
        distrustedUntilMillis = Math.max(distrustedUntilMillis, askedMillis);
    }

    /**
     * Several requests wait at several peers, and none of these said anything for a while but on newer connections: these
     * answer, and would hide that the older ones went silent.
     */
    private void noteIfAllAreSilent() {
        long now = clock.millis();
        long since = now - ALL_SILENT_MILLIS;
        if (waiting.size() < WAITING_AT_LEAST) {
            return;
        }
        List<PendingRequest> unheard = waiting.stream()
                .filter(wait -> wait.sinceMillis <= since)
                .filter(wait -> !words.anyOnConnectionOpenAt(wait.sinceMillis, now))
                .toList();
        long peers = unheard.stream().map(wait -> wait.peer).distinct().count();
        if (unheard.size() >= WAITING_AT_LEAST && peers >= PEERS_AT_LEAST) {
            distrustedUntilMillis = Math.max(distrustedUntilMillis, since);
        }
    }

    @Override
    public String toString() {
        return "ConnectionTrust[" + waiting.size() + " waiting, distrusted until " + distrustedUntilMillis + "]";
    }
}

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
    private static final long SILENCE_MILLIS = 300;

    /** One or two requests may wait that long at busy peers; that three do at two peers, with no word from any, is rare. */
    private static final int MIN_PENDING_REQUESTS = 3;

    private static final int MIN_SILENT_PEERS = 2;

    private final Clock clock;
    private final long maxIdleMillis;
    private final Set<PendingRequest> pending = new LinkedHashSet<>();
    private final ReceiveTimes received = ReceiveTimes.retaining(SILENCE_MILLIS);
    private long suspectUntilMillis = Long.MIN_VALUE / 2;

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
     * @param maxIdleMillis how long ago a connection may have been heard last to be used again
     */
    public static ConnectionReusePolicy of(Clock clock, long maxIdleMillis) {
        return new ConnectionReusePolicy(clock, maxIdleMillis);
    }

    private ConnectionReusePolicy(Clock clock, long maxIdleMillis) {
        this.clock = clock;
        this.maxIdleMillis = maxIdleMillis;
    }

    // ---- queries

    /**
     * Returns true if a connection may carry a request.
     *
     * @param lastReceivedMillis when something came on it last, or when it was opened
     */
    public boolean isReusable(long lastReceivedMillis) {
        detectSilence();
        return !isSuspect(lastReceivedMillis) && clock.millis() - lastReceivedMillis <= maxIdleMillis;
    }

    /** Returns true if a connection was heard last before others were found silent. */
    public boolean isSuspect(long lastReceivedMillis) {
        return lastReceivedMillis <= suspectUntilMillis;
    }

    // ---- what is learned

    /** A request goes out to a peer that should say something within the time of a few. */
    public PendingRequest requestSent(String peer) {
        PendingRequest request = new PendingRequest(peer, clock.millis());
        pending.add(request);
        return request;
    }

    /** A peer, whichever, said something on a connection that was opened at a moment. */
    public void dataReceived(long openedMillis) {
        received.record(openedMillis, clock.millis());
    }

    /** A request no longer waits. */
    public void requestEnded(PendingRequest request) {
        pending.remove(request);
    }

    /**
     * A connection that had been well said nothing to a request for as long as that may take.
     *
     * @param sentMillis when the request went out
     */
    public void timedOut(long sentMillis) {
        suspectUntilMillis = Math.max(suspectUntilMillis, sentMillis);
    }

    /**
     * Several requests wait at several peers, and none of these said anything for a while but on newer connections: these
     * answer, and would hide that the older ones went silent.
     */
    private void detectSilence() {
        long now = clock.millis();
        long since = now - SILENCE_MILLIS;
        if (pending.size() < MIN_PENDING_REQUESTS) {
            return;
        }
        List<PendingRequest> unanswered = pending.stream()
                .filter(request -> request.sinceMillis <= since)
                .filter(request -> !received.anyOnConnectionOpenAt(request.sinceMillis, now))
                .toList();
        long peers = unanswered.stream().map(request -> request.peer).distinct().count();
        if (unanswered.size() >= MIN_PENDING_REQUESTS && peers >= MIN_SILENT_PEERS) {
            suspectUntilMillis = Math.max(suspectUntilMillis, since);
        }
    }

    @Override
    public String toString() {
        return "ConnectionTrust[" + pending.size() + " waiting, distrusted until " + suspectUntilMillis + "]";
    }
}

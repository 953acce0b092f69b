package org.bankturn.routing;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.bankturn.time.Clock;

/**
 * Decides whether a pooled connection may be reused for the next request.
 *
 * <p>Load pattern: all open connections stop delivering data at the same moment, without a reset, while new connections
 * work. Each request on a pooled connection would then be lost until its timeout. Silence on one connection is
 * therefore taken to affect every connection that has not received data since; these are not reused, which costs a
 * round trip for a new connection.
 *
 * <p>ConnectionReusePolicy is mutable and not thread-safe.
 */
public final class ConnectionReusePolicy {
    /**
     * The silence of all peers after which connections become suspect; longer than usual gaps between response parts.
     */
    private static final long SILENCE_MILLIS = 300;

    /**
     * The unanswered requests needed to conclude that connections are silent; fewer may just be waiting for busy peers.
     */
    private static final int MIN_PENDING_REQUESTS = 3;

    private static final int MIN_SILENT_PEERS = 2;

    private final Clock clock;
    private final long maxIdleMillis;
    private final Set<PendingRequest> pending = new LinkedHashSet<>();
    private final ReceiveTimes received = ReceiveTimes.retaining(SILENCE_MILLIS);
    private long suspectUntilMillis = Long.MIN_VALUE / 2;

    /** A request that awaits data from a peer. */
    public static final class PendingRequest {
        private final String peer;
        private final long sinceMillis;

        private PendingRequest(String peer, long sinceMillis) {
            this.peer = peer;
            this.sinceMillis = sinceMillis;
        }
    }

    /**
     * Returns a policy for a process without connections, not null.
     *
     * @param clock the time, not null
     * @param maxIdleMillis the maximum time since a connection last received data
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
     * @param lastReceivedMillis when the connection last received data, or when it was opened
     */
    public boolean isReusable(long lastReceivedMillis) {
        detectSilence();
        return !isSuspect(lastReceivedMillis) && clock.millis() - lastReceivedMillis <= maxIdleMillis;
    }

    /** Returns true if a connection last received data before others were found silent. */
    public boolean isSuspect(long lastReceivedMillis) {
        return lastReceivedMillis <= suspectUntilMillis;
    }

    // ---- updates

    /** Records that a request was sent to a peer and returns its handle. */
    public PendingRequest requestSent(String peer) {
        PendingRequest request = new PendingRequest(peer, clock.millis());
        pending.add(request);
        return request;
    }

    /** Records that data arrived on a connection that was opened at the given time. */
    public void dataReceived(long openedMillis) {
        received.record(openedMillis, clock.millis());
    }

    /** Records that a request no longer awaits data. */
    public void requestEnded(PendingRequest request) {
        pending.remove(request);
    }

    /**
     * Records that a request timed out on a connection that had been working.
     *
     * @param sentMillis when the request was sent
     */
    public void timedOut(long sentMillis) {
        suspectUntilMillis = Math.max(suspectUntilMillis, sentMillis);
    }

    /**
     * Marks connections as suspect if several requests at several peers received nothing for a while. Data on newer
     * connections does not count, as it would hide that older ones are silent.
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
        return "ConnectionReusePolicy[" + pending.size() + " pending, suspect until " + suspectUntilMillis + "]";
    }
}

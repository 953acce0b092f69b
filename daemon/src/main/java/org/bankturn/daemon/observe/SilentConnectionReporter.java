package org.bankturn.daemon.observe;

import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.ConnectionObserver;

/**
 * Logs and counts connections that are closed because nothing is received on them, and messages dropped because too much
 * waits to be sent.
 *
 * <p>SilentConnectionReporter is thread-safe.
 */
public final class SilentConnectionReporter implements ConnectionObserver {
    private final String peer;
    private final DecisionLog log;
    private final ServingMetrics metrics;

    /** Returns an observer of connections to other processes, not null. */
    public static SilentConnectionReporter of(DecisionLog log, ServingMetrics metrics) {
        return forPeer(ServingMetrics.PEER_PROCESS, log, metrics);
    }

    /** Returns an observer of connections to peers with the given metrics label, not null. */
    public static SilentConnectionReporter forPeer(String peer, DecisionLog log, ServingMetrics metrics) {
        return new SilentConnectionReporter(peer, log, metrics);
    }

    private SilentConnectionReporter(String peer, DecisionLog log, ServingMetrics metrics) {
        this.peer = peer;
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void onSilentConnection(Address address, long silentMillis, boolean established) {
        metrics.silentConnectionClosed(peer);
        log.line(DecisionKind.LOST)
                .with(DecisionField.DEPENDENCY, "connection")
                .with(DecisionField.ADDRESS, address)
                .with(DecisionField.KEPT, established)
                .with(DecisionField.SILENT_MS, silentMillis)
                .write();
    }

    @Override
    public void onMessageDropped(String droppedFor, boolean reply, int bytes, long unsentBytes) {
        String message = reply ? "reply to a process" : "message to a process";
        metrics.messageTooLarge(message, "connection");
        log.line(DecisionKind.OVERSIZED)
                .with(DecisionField.MESSAGE, message)
                .with(DecisionField.BOUND, "connection")
                .with(DecisionField.ADDRESS, droppedFor)
                .with(DecisionField.BYTES, bytes)
                .with(DecisionField.UNSENT_BYTES, unsentBytes)
                .write();
    }
}

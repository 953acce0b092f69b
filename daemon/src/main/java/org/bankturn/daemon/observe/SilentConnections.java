package org.bankturn.daemon.observe;

import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.ConnectionObserver;

/**
 * Writes a line for each connection between processes that was given up because it was silent, and counts them.
 *
 * <p>SilentConnections is thread-safe.
 */
public final class SilentConnections implements ConnectionObserver {
    private final DecisionLog log;
    private final ServingMetrics metrics;

    /** Returns an observer, not null. */
    public static SilentConnections of(DecisionLog log, ServingMetrics metrics) {
        return new SilentConnections(log, metrics);
    }

    private SilentConnections(DecisionLog log, ServingMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void wentSilent(Address address, long silentMillis, boolean kept) {
        metrics.connectionSilent(ServingMetrics.PEER_PROCESS);
        log.line(DecisionKind.LOST)
                .with(DecisionField.DEPENDENCY, "connection")
                .with(DecisionField.ADDRESS, address)
                .with(DecisionField.KEPT, kept)
                .with(DecisionField.SILENT_MS, silentMillis)
                .write();
    }
}

package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;

/**
 * A connection that was established to a target before a request was sent to it.
 *
 * <p>A target may restart under its name, and its answer to a health request does not tell one start from the other. An
 * answer on a connection from before the request comes from the start that received the request: had that one ended,
 * the connection would have ended as well.
 *
 * <p>WitnessConnection is confined to its reactor's thread.
 */
final class WitnessConnection {
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    private final IncarnationCheck.Dependencies dependencies;
    private final TargetSighting target;
    private TargetConnection connection;

    /** Connects to a target; the promise is of null if that fails, and the target's responses cannot be confirmed then. */
    static Promise<WitnessConnection> open(IncarnationCheck.Dependencies dependencies, TargetSighting target) {
        return TargetConnection.connect(
                        dependencies.reactor(),
                        dependencies.clock(),
                        Address.parse(target.address()).toSocketAddress(),
                        CONNECT_TIMEOUT_MILLIS)
                .then(
                        connection -> Promise.of(new WitnessConnection(dependencies, target, connection)),
                        failure -> Promise.of(null));
    }

    private WitnessConnection(
            IncarnationCheck.Dependencies dependencies, TargetSighting target, TargetConnection connection) {
        this.dependencies = dependencies;
        this.target = target;
        this.connection = connection;
    }

    /** Takes the connection, null if it was closed. */
    TargetConnection take() {
        TargetConnection taken = connection == null || connection.isClosed() ? null : connection;
        connection = null;
        return taken;
    }

    /** Returns the connection, if it was not taken, to the pool. */
    void release() {
        if (connection != null) {
            dependencies.connections().release(target.id(), connection);
            connection = null;
        }
    }
}

package org.bankturn.daemon.gateway;

import io.activej.promise.Promise;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;

/**
 * A connection that was opened to a target before the end of its response was seen.
 *
 * <p>A target may restart under its name, and its answer to a health request does not tell one start from the other. An
 * answer on a connection from before a response ended comes from the start that sent the response.
 *
 * <p>WitnessConnection is confined to its reactor's thread.
 */
final class WitnessConnection {
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    private final IncarnationCheck.Dependencies dependencies;
    private final TargetSighting target;
    private TargetConnection connection;
    private boolean released;

    /** Opens a connection to a target, not null. */
    static WitnessConnection open(IncarnationCheck.Dependencies dependencies, TargetSighting target) {
        WitnessConnection witness = new WitnessConnection(dependencies, target);
        Promise<TargetConnection> connected = TargetConnection.connect(
                dependencies.reactor(),
                dependencies.clock(),
                Address.parse(target.address()).toSocketAddress(),
                CONNECT_TIMEOUT_MILLIS);
        connected.whenResult(witness::onConnected);
        return witness;
    }

    private WitnessConnection(IncarnationCheck.Dependencies dependencies, TargetSighting target) {
        this.dependencies = dependencies;
        this.target = target;
    }

    private void onConnected(TargetConnection opened) {
        connection = opened;
        if (released) {
            release();
        }
    }

    /** Takes the connection, null if it has not been established or was closed. */
    TargetConnection take() {
        TargetConnection taken = connection == null || !connection.isUsable() ? null : connection;
        connection = null;
        released = true;
        return taken;
    }

    /** Returns the connection, if it was not taken, to the pool. */
    void release() {
        released = true;
        if (connection != null) {
            dependencies.connections().release(target.id(), connection);
            connection = null;
        }
    }
}

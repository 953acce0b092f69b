package org.bankturn.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.routing.ConnectionReusePolicy;

/**
 * Pools idle connections to targets, by incarnation, for reuse while they are trusted.
 *
 * <p>TargetConnectionPool is confined to its reactor's thread.
 */
final class TargetConnectionPool {
    /** Maximum number of idle connections per target. */
    private static final int MAX_IDLE_PER_TARGET = 24;

    private final ConnectionReusePolicy connectionTrust;
    private final Map<String, Deque<TargetConnection>> idle = new HashMap<>();
    private Consumer<String> peerCloseListener = target -> {};

    TargetConnectionPool(ConnectionReusePolicy connectionTrust) {
        this.connectionTrust = connectionTrust;
    }

    /** Sets what learns of each idle connection that its target has closed, by the incarnation. */
    void setPeerCloseListener(Consumer<String> listener) {
        peerCloseListener = listener;
    }

    /** Removes and returns a connection that has been idle for at most the given time, null if there is none. */
    TargetConnection acquire(String target, long nowMillis, long maxIdleMillis) {
        Deque<TargetConnection> connections = idle.getOrDefault(target, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            TargetConnection connection = connections.pollLast();
            // other connections heard at the same time may have revealed that this one is dead
            if (!connection.isUsable() || !connectionTrust.isReusable(connection.lastReadMillis())) {
                connection.close();
                continue;
            }
            if (nowMillis - connection.idleSinceMillis() <= maxIdleMillis) {
                return connection;
            }
            connections.addLast(connection);
            return null;
        }
        return null;
    }

    /** Returns a connection to the pool, or closes it if it is not reusable. */
    void release(String target, TargetConnection connection) {
        if (!connection.isUsable()) {
            connection.close();
            return;
        }
        Deque<TargetConnection> connections = idle.computeIfAbsent(target, key -> new ArrayDeque<>());
        connections.addLast(connection);
        connection.onIdleClose(() -> peerCloseListener.accept(target));
        if (connections.size() > MAX_IDLE_PER_TARGET) {
            connections.pollFirst().close();
        }
    }

    /** Closes the idle connections to the given targets, which are gone. */
    void closeAll(Collection<String> targets) {
        for (String target : targets) {
            Deque<TargetConnection> connections = idle.remove(target);
            if (connections != null) {
                connections.forEach(TargetConnection::close);
            }
        }
    }
}

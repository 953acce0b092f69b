package org.bankturn.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.routing.ConnectionTrust;

/**
 * The connections to targets that carry no request now, kept for the next one while they are trusted; by incarnation.
 *
 * <p>TargetConnectionPool is confined to its reactor's thread.
 */
final class TargetConnectionPool {
    /** Connections kept to one target: as many as a gateway has requests under way there at its busiest. */
    private static final int MOST_RESTING = 24;

    private final ConnectionTrust trust;
    private final Map<String, Deque<TargetConnection>> resting = new HashMap<>();

    TargetConnectionPool(ConnectionTrust trust) {
        this.trust = trust;
    }

    /** Takes a connection that rested no longer than that, null if there is none. */
    TargetConnection acquire(String target, long nowMillis, long mostRestMillis) {
        Deque<TargetConnection> kept = resting.getOrDefault(target, new ArrayDeque<>());
        while (!kept.isEmpty()) {
            TargetConnection connection = kept.pollLast();
            // without trust, requests are sent on connections that went silent with others
            if (!connection.isUsable() || !trust.mayCarry(connection.heardMillis())) {
                connection.close();
                continue;
            }
            if (nowMillis - connection.restingSince() <= mostRestMillis) {
                return connection;
            }
            kept.addLast(connection);
            return null;
        }
        return null;
    }

    /** Keeps a connection for the next request, or closes it if it cannot carry one. */
    void release(String target, TargetConnection connection) {
        if (!connection.isUsable()) {
            connection.close();
            return;
        }
        Deque<TargetConnection> kept = resting.computeIfAbsent(target, key -> new ArrayDeque<>());
        kept.addLast(connection);
        if (kept.size() > MOST_RESTING) {
            kept.pollFirst().close();
        }
    }

    /** Closes what is kept to targets that are gone. */
    void closeAll(Collection<String> targets) {
        for (String target : targets) {
            Deque<TargetConnection> kept = resting.remove(target);
            if (kept != null) {
                kept.forEach(TargetConnection::close);
            }
        }
    }
}

package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.agreement.Ready.Outbound;
import org.bankturn.routing.ConnectionReusePolicy;

/** Simulates a group in virtual time whose persistent connections can all stop delivering at once. */
final class StaleConnectionSimulation {
    static final RaftSettings SETTINGS = new RaftSettings(500, 100, 64, 3);

    /** The idle time after which a connection is replaced. */
    private static final long MAX_IDLE_MILLIS = 5_000;

    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    final InMemoryCluster cluster;
    private final Map<String, ConnectionReusePolicy> trusts = new HashMap<>();
    private final Map<Link, Connection> connections = new HashMap<>();
    private final List<LostMessage> lost = new ArrayList<>();

    private record Link(String from, String to) {}

    private record LostMessage(String from, Connection connection, long sentMillis) {}

    private static final class Connection {
        private long lastReceivedMillis;
        private boolean silent;
    }

    StaleConnectionSimulation(long seed) {
        cluster = new InMemoryCluster(SETTINGS, seed, "a", "b", "c");
        cluster.running
                .keySet()
                .forEach(box -> trusts.put(box, ConnectionReusePolicy.of(cluster.clock, MAX_IDLE_MILLIS)));
    }

    /** Advances time in steps of ten milliseconds. */
    void advance(long millis) {
        for (long step = 0; step < millis; step += 10) {
            cluster.tickAll();
            expireLostMessages();
            cluster.running.forEach((box, member) -> StaleConnectionPolicy.staleConnectionCutoffMillis(
                            member, SETTINGS, cluster.clock.millis())
                    .ifPresent(trusts.get(box)::timedOut));
            deliverAll();
        }
    }

    /** Makes all open connections drop every further message. */
    void silenceOpenConnections() {
        connections.values().forEach(connection -> connection.silent = true);
    }

    private void deliverAll() {
        while (!cluster.inFlight.isEmpty()) {
            Outbound outbound = cluster.inFlight.get(0);
            String from = outbound.message().from().box();
            Connection connection = connection(new Link(from, outbound.to().box()));
            if (connection.silent) {
                cluster.inFlight.remove(0);
                lost.add(new LostMessage(from, connection, cluster.clock.millis()));
            } else {
                connection.lastReceivedMillis = cluster.clock.millis();
                cluster.deliverOldest();
            }
        }
    }

    private Connection connection(Link link) {
        Connection existing = connections.get(link);
        if (existing != null && trusts.get(link.from()).isReusable(existing.lastReceivedMillis)) {
            return existing;
        }
        Connection opened = new Connection();
        opened.lastReceivedMillis = cluster.clock.millis();
        connections.put(link, opened);
        return opened;
    }

    private void expireLostMessages() {
        long now = cluster.clock.millis();
        for (LostMessage message : List.copyOf(lost)) {
            if (now - message.sentMillis() >= REPLY_TIMEOUT_MILLIS) {
                lost.remove(message);
                connections.values().remove(message.connection());
                trusts.get(message.from()).timedOut(now - REPLY_TIMEOUT_MILLIS / 2);
            }
        }
    }
}

package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.agreement.Ready.Outbound;
import org.bankturn.routing.ConnectionTrust;

/** A group in virtual time whose members send over kept connections, which can all go silent at one moment. */
final class StaleConnectionSimulation {
    static final RaftSettings SETTINGS = new RaftSettings(500, 100, 64, 3);

    /** As between processes: a connection that rested longer is replaced, and a message is given up on after a second. */
    private static final long MOST_REST_MILLIS = 5_000;

    private static final long ANSWER_MILLIS = 1_000;

    final InMemoryCluster members;
    private final Map<String, ConnectionTrust> trusts = new HashMap<>();
    private final Map<Way, Connection> connections = new HashMap<>();
    private final List<Lost> lost = new ArrayList<>();

    private record Way(String from, String to) {}

    private record Lost(String from, Connection connection, long sentMillis) {}

    private static final class Connection {
        private long heardMillis;
        private boolean silent;
    }

    StaleConnectionSimulation(long seed) {
        members = new InMemoryCluster(SETTINGS, seed, "a", "b", "c");
        members.running.keySet().forEach(box -> trusts.put(box, ConnectionTrust.of(members.clock, MOST_REST_MILLIS)));
    }

    /** Lets time pass, in steps of ten milliseconds. */
    void advance(long millis) {
        for (long step = 0; step < millis; step += 10) {
            members.tickAll();
            giveUpLost();
            members.running.forEach((box, member) -> StaleConnectionPolicy.staleConnectionCutoffMillis(
                            member, SETTINGS, members.clock.millis())
                    .ifPresent(trusts.get(box)::wentSilent));
            deliverAll();
        }
    }

    /** From now on the connections that are open carry nothing. */
    void silenceOpenConnections() {
        connections.values().forEach(connection -> connection.silent = true);
    }

    private void deliverAll() {
        while (!members.inFlight.isEmpty()) {
            Outbound outbound = members.inFlight.get(0);
            String from = outbound.message().from().box();
            Connection connection = connection(new Way(from, outbound.to().box()));
            if (connection.silent) {
                members.inFlight.remove(0);
                lost.add(new Lost(from, connection, members.clock.millis()));
            } else {
                connection.heardMillis = members.clock.millis();
                members.deliverOldest();
            }
        }
    }

    private Connection connection(Way way) {
        Connection kept = connections.get(way);
        if (kept != null && trusts.get(way.from()).mayCarry(kept.heardMillis)) {
            return kept;
        }
        Connection opened = new Connection();
        opened.heardMillis = members.clock.millis();
        connections.put(way, opened);
        return opened;
    }

    private void giveUpLost() {
        long now = members.clock.millis();
        for (Lost message : List.copyOf(lost)) {
            if (now - message.sentMillis() >= ANSWER_MILLIS) {
                lost.remove(message);
                connections.values().remove(message.connection());
                trusts.get(message.from()).wentSilent(now - ANSWER_MILLIS / 2);
            }
        }
    }
}

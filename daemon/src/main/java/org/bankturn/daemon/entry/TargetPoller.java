package org.bankturn.daemon.entry;

import io.activej.promise.Promises;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bankturn.configuration.Box;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;

/**
 * Asks targets how they are, each in turn, as often as a fixed cost allows.
 *
 * <p>TargetPoller is confined to its reactor's thread.
 */
final class TargetPoller {
    private static final long SHORTEST_ROUND_MILLIS = 500;
    private static final long MILLIS_PER_TARGET = 15;
    private static final long TIMEOUT_MILLIS = 1_000;

    private final EntryState state;
    private final NodeClients clients;
    private final Set<String> asking = new HashSet<>();
    private boolean stopped;

    TargetPoller(EntryState state, NodeClients clients) {
        this.state = state;
        this.clients = clients;
    }

    void start() {
        round();
    }

    void stop() {
        stopped = true;
    }

    private void round() {
        if (stopped) {
            return;
        }
        List<Box> boxes = state.holder().get().boxes();
        boxes.forEach(this::ask);
        long pause = Math.max(SHORTEST_ROUND_MILLIS, boxes.size() * MILLIS_PER_TARGET);
        Promises.delay(pause).whenResult(this::round);
    }

    private void ask(Box box) {
        if (!asking.add(box.name())) {
            return;
        }
        clients.ask(Address.parse(box.nodeAddress()), new NodeRequest.GetTargetStatus(), TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> {
                    asking.remove(box.name());
                    if (reply instanceof NodeReply.Target target) {
                        state.targets().recordStatus(target.status());
                    } else {
                        state.targets().recordFailure(box.name());
                    }
                });
    }
}

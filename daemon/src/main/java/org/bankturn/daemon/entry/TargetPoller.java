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
 * Polls the status of all targets. The interval grows with the number of targets, which bounds the poll rate.
 *
 * <p>TargetPoller is confined to its reactor's thread.
 */
final class TargetPoller {
    private static final long MIN_INTERVAL_MILLIS = 500;
    private static final long INTERVAL_MILLIS_PER_TARGET = 15;
    private static final long TIMEOUT_MILLIS = 1_000;

    private final EntryState state;
    private final NodeClients clients;
    private final Set<String> polling = new HashSet<>();
    private boolean stopped;

    TargetPoller(EntryState state, NodeClients clients) {
        this.state = state;
        this.clients = clients;
    }

    void start() {
        pollAll();
    }

    void stop() {
        stopped = true;
    }

    private void pollAll() {
        if (stopped) {
            return;
        }
        List<Box> boxes = state.holder().get().boxes();
        boxes.forEach(this::poll);
        long intervalMillis = Math.max(MIN_INTERVAL_MILLIS, boxes.size() * INTERVAL_MILLIS_PER_TARGET);
        Promises.delay(intervalMillis).whenResult(this::pollAll);
    }

    private void poll(Box box) {
        if (!polling.add(box.name())) {
            return;
        }
        clients.ask(Address.parse(box.nodeAddress()), new NodeRequest.GetTargetStatus(), TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> {
                    polling.remove(box.name());
                    if (reply instanceof NodeReply.Target target) {
                        state.targets().recordStatus(target.status());
                    } else {
                        state.targets().recordFailure(box.name());
                    }
                });
    }
}

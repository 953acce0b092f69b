package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import java.util.HashSet;
import java.util.Set;
import org.bankturn.daemon.publication.Published;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * Asks the processes beside engines for their load, more often in the gateway's own data hall than across halls.
 *
 * <p>How long an answer takes tells how slow the path is; requests on it would be held up as well.
 *
 * <p>LoadPoller is confined to its reactor's thread.
 */
final class LoadPoller {
    private static final long OWN_HALL_MILLIS = 120;
    private static final long OTHER_HALL_MILLIS = 300;
    private static final long ANSWER_MILLIS = 600;

    private final Eventloop reactor;
    private final Clock clock;
    private final NodeClients clients;
    private final TargetTable targets;
    private final GatewaySettings settings;
    private final Set<String> polled = new HashSet<>();
    private Published published = Published.NOTHING;
    private boolean started;

    static LoadPoller of(
            Eventloop reactor, Clock clock, NodeClients clients, TargetTable targets, GatewaySettings settings) {
        return new LoadPoller(reactor, clock, clients, targets, settings);
    }

    private LoadPoller(
            Eventloop reactor, Clock clock, NodeClients clients, TargetTable targets, GatewaySettings settings) {
        this.reactor = reactor;
        this.clock = clock;
        this.clients = clients;
        this.targets = targets;
        this.settings = settings;
    }

    void start() {
        started = true;
        update(published);
    }

    void update(Published newer) {
        published = newer;
        if (!started) {
            return;
        }
        for (TargetSighting target : newer.targets().values()) {
            boolean hasEngine = target.heldVersion() >= 0;
            if (hasEngine && polled.add(target.id())) {
                poll(target.id());
            }
        }
    }

    private void poll(String id) {
        TargetSighting target = published.targets().get(id);
        if (target == null) {
            polled.remove(id);
            return;
        }
        boolean near = target.dataHall().equals(settings.dataHall());
        Address process = new Address(Address.parse(target.address()).host(), settings.nodePort());
        long askedMillis = clock.millis();
        clients.ask(process, new NodeRequest.GetLoad(), ANSWER_MILLIS).whenComplete((reply, failure) -> {
            long tookMillis = clock.millis() - askedMillis;
            if (failure == null && reply instanceof NodeReply.Load told && told.load() != null) {
                targets.reported(id, told.load(), told.ageMillis(), tookMillis);
            } else {
                targets.unheard(id, tookMillis);
            }
            reactor.delayBackground(near ? OWN_HALL_MILLIS : OTHER_HALL_MILLIS, () -> poll(id));
        });
    }
}

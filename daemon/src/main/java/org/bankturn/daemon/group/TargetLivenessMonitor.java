package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.HeartbeatTable;
import org.bankturn.time.Clock;

/**
 * Removes targets whose heartbeats have stopped.
 *
 * <p>Targets send heartbeats to any control process. Each process forwards the targets it heard from to the leader, which
 * removes those without a heartbeat at any process. TargetLivenessMonitor is confined to its reactor's thread.
 */
final class TargetLivenessMonitor {
    /** The interval at which received heartbeats are forwarded to the leader in one batch. */
    private static final long FORWARD_MILLIS = 400;

    /** The number of consecutive heartbeats a target may miss before it is removed. */
    private static final int MAX_MISSED_HEARTBEATS = 7;

    private final Eventloop reactor;
    private final NodeClients clients;
    private final GroupMember member;
    private final DecisionLog log;
    private final HeartbeatTable heartbeats;
    private final Set<String> pendingHeartbeats = new LinkedHashSet<>();
    private boolean wasLeader;

    static TargetLivenessMonitor of(
            Eventloop reactor,
            NodeClients clients,
            GroupMember member,
            DecisionLog log,
            Clock clock,
            long heartbeatMillis) {
        return new TargetLivenessMonitor(reactor, clients, member, log, clock, heartbeatMillis);
    }

    private TargetLivenessMonitor(
            Eventloop reactor,
            NodeClients clients,
            GroupMember member,
            DecisionLog log,
            Clock clock,
            long heartbeatMillis) {
        this.reactor = reactor;
        this.clients = clients;
        this.member = member;
        this.log = log;
        this.heartbeats = HeartbeatTable.of(clock, MAX_MISSED_HEARTBEATS * heartbeatMillis);
    }

    void start() {
        reactor.delayBackground(FORWARD_MILLIS, () -> {
            forward();
            start();
        });
    }

    /** Records a heartbeat received by this process. */
    void recordHeartbeat(String target) {
        pendingHeartbeats.add(target);
    }

    /** Records heartbeats that another control process received. */
    void recordRemoteHeartbeats(List<String> targets) {
        heartbeats.record(targets);
    }

    private void forward() {
        GroupView view = member.view();
        List<String> heard = List.copyOf(pendingHeartbeats);
        pendingHeartbeats.clear();
        if (view.leads()) {
            heartbeats.record(heard);
            removeSilent();
        } else if (view.leader() != null && !heard.isEmpty()) {
            clients.tell(Address.parse(view.leader().address()), new NodeRequest.ReportHeartbeats(heard));
        }
        wasLeader = view.leads();
    }

    private void removeSilent() {
        if (!wasLeader) {
            heartbeats.restart();
        }
        CompletableFuture<List<String>> listed = member.query(state -> state.registry().all().stream()
                .map(target -> target.sighting().id())
                .toList());
        ReactorPromises.of(reactor, listed)
                .whenResult(targets -> heartbeats.findSilent(targets).forEach(this::remove));
    }

    private void remove(String target) {
        log.line(DecisionKind.TARGET)
                .with(DecisionField.TARGET, target)
                .with(DecisionField.EVENT, "silent")
                .write();
        ReactorPromises.of(reactor, member.submit(new PublicationCommand.RemoveTarget(target, false)));
    }
}

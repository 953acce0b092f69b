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
 * Notices targets that fall silent.
 *
 * <p>Targets call any control process; each tells the leader whom it heard, and the leader has those removed that nobody
 * heard for long. TargetLivenessMonitor is confined to its reactor's thread.
 */
final class TargetLivenessMonitor {
    /** How often the targets that were heard here are told to the leader, all together. */
    private static final long FORWARD_MILLIS = 400;

    /** Heartbeats that a target may miss before it is dropped, by everyone. */
    private static final int HEARTBEATS_MISSED = 7;

    private final Eventloop reactor;
    private final NodeClients clients;
    private final GroupMember member;
    private final DecisionLog log;
    private final HeartbeatTable heartbeats;
    private final Set<String> heardHere = new LinkedHashSet<>();
    private boolean ledBefore;

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
        this.heartbeats = HeartbeatTable.of(clock, HEARTBEATS_MISSED * heartbeatMillis);
    }

    void start() {
        reactor.delayBackground(FORWARD_MILLIS, () -> {
            forward();
            start();
        });
    }

    /** A target called this process. */
    void recordHeartbeat(String target) {
        heardHere.add(target);
    }

    /** Another control process heard targets. */
    void recordRemoteHeartbeats(List<String> targets) {
        heartbeats.heard(targets);
    }

    private void forward() {
        GroupView view = member.view();
        List<String> heard = List.copyOf(heardHere);
        heardHere.clear();
        if (view.leads()) {
            heartbeats.heard(heard);
            removeSilent();
        } else if (view.leader() != null && !heard.isEmpty()) {
            clients.tell(Address.parse(view.leader().address()), new NodeRequest.NoteHeartbeats(heard));
        }
        ledBefore = view.leads();
    }

    private void removeSilent() {
        if (!ledBefore) {
            heartbeats.restart();
        }
        CompletableFuture<List<String>> listed = member.query(state -> state.registry().all().stream()
                .map(target -> target.sighting().id())
                .toList());
        ReactorPromises.of(reactor, listed)
                .whenResult(targets -> heartbeats.silentAmong(targets).forEach(this::remove));
    }

    private void remove(String target) {
        log.line(DecisionKind.TARGET)
                .with(DecisionField.TARGET, target)
                .with(DecisionField.EVENT, "silent")
                .write();
        ReactorPromises.of(reactor, member.submit(new PublicationCommand.RemoveTarget(target, false)));
    }
}

package org.bankturn.daemon.publication;

import io.activej.reactor.nio.NioReactor;
import java.util.Optional;
import java.util.function.LongFunction;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.registry.TargetSighting;

/**
 * Registers a process with the control group by periodic heartbeats, as targets do.
 *
 * <p>Announcer is confined to its reactor's thread.
 */
public final class Announcer {
    private static final long REQUEST_TIMEOUT_MILLIS = 600;

    /** Short, since control processes without a leader reject requests immediately. */
    private static final long RETRY_MILLIS = 150;

    private final NioReactor reactor;
    private final NodeClients clients;
    private final PublicationFollower follower;
    private final LongFunction<TargetSighting> sighting;
    private final long heartbeatMillis;
    private final DecisionLog log;
    private long sequence;
    private boolean accepted;

    /**
     * Returns an announcer that is not started yet, not null.
     *
     * @param reactor its reactor, not null
     * @param clients connects to control processes, not null
     * @param follower supplies the current control process, not null
     * @param sighting creates the heartbeat with a sequence number, not null
     * @param heartbeatMillis the heartbeat interval
     * @param log the decision log, not null
     */
    public static Announcer of(
            NioReactor reactor,
            NodeClients clients,
            PublicationFollower follower,
            LongFunction<TargetSighting> sighting,
            long heartbeatMillis,
            DecisionLog log) {
        return new Announcer(reactor, clients, follower, sighting, heartbeatMillis, log);
    }

    private Announcer(
            NioReactor reactor,
            NodeClients clients,
            PublicationFollower follower,
            LongFunction<TargetSighting> sighting,
            long heartbeatMillis,
            DecisionLog log) {
        this.reactor = reactor;
        this.clients = clients;
        this.follower = follower;
        this.sighting = sighting;
        this.heartbeatMillis = heartbeatMillis;
        this.log = log;
    }

    /** Starts sending heartbeats. */
    public void start() {
        announce();
    }

    private void announce() {
        Optional<Address> controlProcess = follower.controlProcess();
        if (controlProcess.isEmpty()) {
            announceAfter(RETRY_MILLIS);
            return;
        }
        sequence++;
        NodeRequest.Announce request = new NodeRequest.Announce(sighting.apply(sequence));
        clients.ask(controlProcess.get(), request, REQUEST_TIMEOUT_MILLIS).whenComplete((reply, failure) -> {
            boolean acknowledged = failure == null && reply instanceof NodeReply.Acknowledged;
            logFirstAcceptance(acknowledged, controlProcess.get());
            announceAfter(acknowledged ? heartbeatMillis : RETRY_MILLIS);
        });
    }

    private void announceAfter(long millis) {
        reactor.delayBackground(millis, this::announce);
    }

    private void logFirstAcceptance(boolean acknowledged, Address by) {
        if (acknowledged && !accepted) {
            log.line(DecisionKind.TARGET)
                    .with(DecisionField.EVENT, "announced")
                    .with(DecisionField.ADDRESS, by)
                    .write();
        }
        accepted = acknowledged;
    }
}

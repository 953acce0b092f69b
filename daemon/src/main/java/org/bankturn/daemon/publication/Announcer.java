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
 * Tells the control group again and again that a process is there, as targets do.
 *
 * <p>Announcer is confined to its reactor's thread.
 */
public final class Announcer {
    private static final long ANSWER_MILLIS = 600;

    /** Control processes that have no leader yet say so at once; they are asked again soon. */
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
     * Returns an announcer that does not run yet, not null.
     *
     * @param reactor its reactor, not null
     * @param clients asks control processes, not null
     * @param follower knows which control process answers, not null
     * @param sighting what to say with a sequence number, not null
     * @param heartbeatMillis how often
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

    /** Starts to announce. */
    public void start() {
        announce();
    }

    private void announce() {
        Optional<Address> asked = follower.controlProcess();
        if (asked.isEmpty()) {
            announceAfter(RETRY_MILLIS);
            return;
        }
        sequence++;
        NodeRequest.Announce request = new NodeRequest.Announce(sighting.apply(sequence));
        clients.ask(asked.get(), request, ANSWER_MILLIS).whenComplete((reply, failure) -> {
            boolean taken = failure == null && reply instanceof NodeReply.Received;
            note(taken, asked.get());
            announceAfter(taken ? heartbeatMillis : RETRY_MILLIS);
        });
    }

    private void announceAfter(long millis) {
        reactor.delayBackground(millis, this::announce);
    }

    private void note(boolean taken, Address by) {
        if (taken && !accepted) {
            log.line(DecisionKind.TARGET)
                    .with(DecisionField.EVENT, "announced")
                    .with(DecisionField.ADDRESS, by)
                    .write();
        }
        accepted = taken;
    }
}

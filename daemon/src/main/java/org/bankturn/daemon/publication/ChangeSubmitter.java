package org.bankturn.daemon.publication;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.PublicationCommand;

/**
 * Has the control group agree on what a process saw: in order, and again and again until it is committed.
 *
 * <p>ChangeSubmitter is confined to its reactor's thread.
 */
public final class ChangeSubmitter {
    /** A control process that has lost its leader forwards nothing; the next answer is expected after an election. */
    private static final long ANSWER_MILLIS = 1_000;

    /** Control processes that have no leader yet say so at once; they are asked again soon. */
    private static final long RETRY_MILLIS = 150;

    /** Changes that wait while no control process answers; the oldest is dropped for a further one. */
    private static final int MOST_WAITING = 256;

    private final NioReactor reactor;
    private final NodeClients clients;
    private final Supplier<Optional<Address>> controlProcess;
    private final DecisionLog log;
    private final Deque<PublicationCommand> waiting = new ArrayDeque<>();
    private boolean asking;

    /**
     * Returns a submitter that has nothing to submit, not null.
     *
     * @param reactor its reactor, not null
     * @param clients asks control processes, not null
     * @param controlProcess the control process that answers now, empty if none is known, not null
     * @param log the decision log, not null
     */
    public static ChangeSubmitter of(
            NioReactor reactor, NodeClients clients, Supplier<Optional<Address>> controlProcess, DecisionLog log) {
        return new ChangeSubmitter(reactor, clients, controlProcess, log);
    }

    private ChangeSubmitter(
            NioReactor reactor, NodeClients clients, Supplier<Optional<Address>> controlProcess, DecisionLog log) {
        this.reactor = reactor;
        this.clients = clients;
        this.controlProcess = controlProcess;
        this.log = log;
    }

    /** Submits a change after those submitted before. */
    public void submit(PublicationCommand command) {
        waiting.addLast(command);
        if (waiting.size() > MOST_WAITING) {
            waiting.removeFirst();
            log.line(DecisionKind.LOST)
                    .with(DecisionField.DEPENDENCY, "control")
                    .with(DecisionField.REASON, "a change that was not submitted for long is dropped")
                    .write();
        }
        if (!asking) {
            ask();
        }
    }

    private void ask() {
        PublicationCommand command = waiting.peekFirst();
        asking = command != null;
        if (command == null) {
            return;
        }
        Optional<Address> asked = controlProcess.get();
        if (asked.isEmpty()) {
            askLater();
            return;
        }
        clients.ask(asked.get(), new NodeRequest.ProposePublication(command), ANSWER_MILLIS)
                .whenComplete((reply, failure) -> {
                    if (failure == null && reply instanceof NodeReply.Received) {
                        waiting.remove(command);
                        ask();
                    } else {
                        askLater();
                    }
                });
    }

    private void askLater() {
        reactor.delayBackground(RETRY_MILLIS, this::ask);
    }
}

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
 * Submits the changes of a process to the control group in order, retrying each until it is committed.
 *
 * <p>ChangeSubmitter is confined to its reactor's thread.
 */
public final class ChangeSubmitter {
    /** Exceeds the time of an election, during which control processes cannot forward changes. */
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

    /** Short, since control processes without a leader reject requests immediately. */
    private static final long RETRY_MILLIS = 150;

    /** The maximum number of queued changes; if exceeded, the oldest is dropped. */
    private static final int MAX_QUEUED_CHANGES = 256;

    private final NioReactor reactor;
    private final NodeClients clients;
    private final Supplier<Optional<Address>> controlProcess;
    private final DecisionLog log;
    private final Deque<PublicationCommand> queue = new ArrayDeque<>();
    private boolean sending;

    /**
     * Returns a submitter without queued changes, not null.
     *
     * @param reactor its reactor, not null
     * @param clients connects to control processes, not null
     * @param controlProcess supplies the current control process, empty if none is known, not null
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

    /** Submits a change after all changes submitted earlier. */
    public void submit(PublicationCommand command) {
        queue.addLast(command);
        if (queue.size() > MAX_QUEUED_CHANGES) {
            queue.removeFirst();
            log.line(DecisionKind.LOST)
                    .with(DecisionField.DEPENDENCY, "control")
                    .with(DecisionField.REASON, "queue full: oldest change dropped")
                    .write();
        }
        if (!sending) {
            sendNext();
        }
    }

    private void sendNext() {
        PublicationCommand command = queue.peekFirst();
        sending = command != null;
        if (command == null) {
            return;
        }
        Optional<Address> address = controlProcess.get();
        if (address.isEmpty()) {
            retryLater();
            return;
        }
        clients.ask(address.get(), new NodeRequest.ProposePublication(command), REQUEST_TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> {
                    if (failure == null && reply instanceof NodeReply.Acknowledged) {
                        queue.remove(command);
                        sendNext();
                    } else {
                        retryLater();
                    }
                });
    }

    private void retryLater() {
        reactor.delayBackground(RETRY_MILLIS, this::sendNext);
    }
}

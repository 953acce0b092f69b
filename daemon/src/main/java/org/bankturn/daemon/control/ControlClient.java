package org.bankturn.daemon.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.result.ResultCode;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;
import org.bankturn.time.Clock;

/**
 * Sends requests to the leader of the control group, trying the control boxes in turn until it is found.
 *
 * <p>A command may be sent again after a reply was lost. Every command is either idempotent or safe to apply twice: a
 * second origin grant only uses up budget.
 *
 * <p>ControlClient is thread-safe.
 */
public final class ControlClient {
    private static final long ATTEMPT_TIMEOUT_MILLIS = 1_500;
    private static final long RETRY_DELAY_MILLIS = 100;

    private final NodeClients clients;
    private final List<Address> boxes;
    private final Clock clock;
    private final AtomicReference<Address> likelyLeader;

    /**
     * Creates a client.
     *
     * @param clients connections to other processes, not null
     * @param boxes the node addresses of the control boxes, not empty
     * @param clock the time source, not null
     * @return the client, not null
     */
    public static ControlClient of(NodeClients clients, List<Address> boxes, Clock clock) {
        return new ControlClient(clients, boxes, clock);
    }

    private ControlClient(NodeClients clients, List<Address> boxes, Clock clock) {
        this.clients = clients;
        this.boxes = List.copyOf(boxes);
        this.clock = clock;
        this.likelyLeader = new AtomicReference<>(boxes.get(0));
    }

    /**
     * Submits a command.
     *
     * @param command the command, not null
     * @param timeoutMillis the overall timeout, including retries
     * @return the result; {@link CommandResult.NotExecuted} if no leader answered in time
     */
    public CompletableFuture<CommandResult> submit(Command command, long timeoutMillis) {
        return ask(new NodeRequest.Submit(command), timeoutMillis)
                .thenApply(reply -> reply instanceof NodeReply.CommandOutcome submitted
                        ? submitted.result()
                        : new CommandResult.NotExecuted(ResultCode.NO_QUORUM, null));
    }

    /**
     * Sends a request to the leader.
     *
     * @param request the request, not null
     * @param timeoutMillis the overall timeout, including retries
     * @return the leader's reply; {@link NodeReply.Failed} if none arrived in time
     */
    public CompletableFuture<NodeReply> ask(NodeRequest request, long timeoutMillis) {
        return attempt(request, clock.millis() + timeoutMillis, 0);
    }

    private CompletableFuture<NodeReply> attempt(NodeRequest request, long deadlineMillis, int attempts) {
        long remaining = deadlineMillis - clock.millis();
        if (remaining <= 0) {
            return CompletableFuture.completedFuture(new NodeReply.Failed("no leader answered"));
        }
        Address address = likelyLeader.get();
        return clients.askFromAnyThread(address, request, Math.min(remaining, ATTEMPT_TIMEOUT_MILLIS))
                .exceptionally(failure -> new NodeReply.Failed(String.valueOf(failure.getMessage())))
                .thenCompose(reply -> {
                    if (isFinal(reply)) {
                        return CompletableFuture.completedFuture(reply);
                    }
                    boolean redirected = followRedirect(address, reply);
                    long delayMillis = redirected && attempts < boxes.size() ? 0 : RETRY_DELAY_MILLIS;
                    Executor delayed = CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS);
                    return CompletableFuture.supplyAsync(() -> attempts + 1, delayed)
                            .thenCompose(next -> attempt(request, deadlineMillis, next));
                });
    }

    private static boolean isFinal(NodeReply reply) {
        boolean notExecuted = reply instanceof NodeReply.CommandOutcome submitted
                && submitted.result() instanceof CommandResult.NotExecuted;
        return !notExecuted && !(reply instanceof NodeReply.Failed);
    }

    /** Selects the leader named by the reply, or else the next box; returns true if the reply named a leader. */
    private boolean followRedirect(Address asked, NodeReply reply) {
        if (reply instanceof NodeReply.CommandOutcome submitted
                && submitted.result() instanceof CommandResult.NotExecuted notExecuted
                && notExecuted.leaderAddress() != null) {
            likelyLeader.set(Address.parse(notExecuted.leaderAddress()));
            return true;
        }
        int position = boxes.indexOf(asked);
        likelyLeader.compareAndSet(asked, boxes.get((position + 1) % boxes.size()));
        return false;
    }
}

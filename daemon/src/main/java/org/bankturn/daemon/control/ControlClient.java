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
 * Finds the leader of the control boxes and asks it, trying the others in turn.
 *
 * <p>A command may be sent again after an answer was lost; every command either has the same effect when applied twice or
 * errs on the safe side (a second origin grant only counts as used).
 *
 * <p>ControlClient is thread-safe.
 */
public final class ControlClient {
    private static final long ATTEMPT_MILLIS = 1_500;
    private static final long PAUSE_MILLIS = 100;

    private final NodeClients clients;
    private final List<Address> boxes;
    private final Clock clock;
    private final AtomicReference<Address> likelyLeader;

    /**
     * Creates a client.
     *
     * @param clients connections to other processes, not null
     * @param boxes the control boxes' node addresses, not empty
     * @param clock the time, not null
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
     * @param timeoutMillis how long to go on trying
     * @return the result; {@link CommandResult.NotExecuted} if no leader answered in time
     */
    public CompletableFuture<CommandResult> submit(Command command, long timeoutMillis) {
        return ask(new NodeRequest.Submit(command), timeoutMillis)
                .thenApply(reply -> reply instanceof NodeReply.CommandOutcome submitted
                        ? submitted.result()
                        : new CommandResult.NotExecuted(ResultCode.NO_QUORUM, null));
    }

    /**
     * Asks the leader.
     *
     * @param request the request, not null
     * @param timeoutMillis how long to go on trying
     * @return the leader's reply; {@link NodeReply.Failed} if none came in time
     */
    public CompletableFuture<NodeReply> ask(NodeRequest request, long timeoutMillis) {
        return attempt(request, clock.millis() + timeoutMillis, 0);
    }

    private CompletableFuture<NodeReply> attempt(NodeRequest request, long dueMillis, int tried) {
        long remaining = dueMillis - clock.millis();
        if (remaining <= 0) {
            return CompletableFuture.completedFuture(new NodeReply.Failed("no leader answered"));
        }
        Address address = likelyLeader.get();
        return clients.askFromAnyThread(address, request, Math.min(remaining, ATTEMPT_MILLIS))
                .exceptionally(failure -> new NodeReply.Failed(String.valueOf(failure.getMessage())))
                .thenCompose(reply -> {
                    if (isFinal(reply)) {
                        return CompletableFuture.completedFuture(reply);
                    }
                    boolean redirected = followHint(address, reply);
                    long pause = redirected && tried < boxes.size() ? 0 : PAUSE_MILLIS;
                    Executor later = CompletableFuture.delayedExecutor(pause, TimeUnit.MILLISECONDS);
                    return CompletableFuture.supplyAsync(() -> tried + 1, later)
                            .thenCompose(next -> attempt(request, dueMillis, next));
                });
    }

    private static boolean isFinal(NodeReply reply) {
        boolean notDone = reply instanceof NodeReply.CommandOutcome submitted
                && submitted.result() instanceof CommandResult.NotExecuted;
        return !notDone && !(reply instanceof NodeReply.Failed);
    }

    /** Turns to the leader that a reply names, or else to the next box; returns true if one was named. */
    private boolean followHint(Address asked, NodeReply reply) {
        if (reply instanceof NodeReply.CommandOutcome submitted
                && submitted.result() instanceof CommandResult.NotExecuted notDone
                && notDone.leaderAddress() != null) {
            likelyLeader.set(Address.parse(notDone.leaderAddress()));
            return true;
        }
        int position = boxes.indexOf(asked);
        likelyLeader.compareAndSet(asked, boxes.get((position + 1) % boxes.size()));
        return false;
    }
}

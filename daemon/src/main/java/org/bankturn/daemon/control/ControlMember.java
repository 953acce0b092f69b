package org.bankturn.daemon.control;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.bankturn.agreement.Agreement;
import org.bankturn.agreement.AgreementMessage;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Role;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.lease.LeaseExpiry;
import org.bankturn.result.ResultCode;
import org.bankturn.state.ReplicatedState;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;
import org.bankturn.storage.AgreementStorage;
import org.bankturn.time.Clock;

/**
 * Runs one member of the agreement group: stores before it sends, applies what is committed, answers proposals.
 *
 * <p>All of it happens on one thread, which takes everything that has queued up, stores it with one sync, then sends. A
 * failed write or sync stops the process.
 *
 * <p>ControlMember's public methods are thread-safe.
 */
public final class ControlMember {
    private static final Logger LOG = System.getLogger(ControlMember.class.getName());
    private static final long TICK_MILLIS = 40;
    private static final long PROPOSAL_TIMEOUT_MILLIS = 4_000;
    private static final long JOIN_RETRY_MILLIS = 500;

    private final Agreement agreement;
    private final AgreementStorage storage;
    private ReplicatedState state;
    private final ConfigurationHolder holder;
    private final Clock clock;
    private final ControlWiring wiring;
    private final LeaseExpiry leaseExpiry = new LeaseExpiry();
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, Proposal> proposals = new HashMap<>();
    private final Thread thread;
    private volatile boolean stopping;
    private volatile View view;
    private long appliedIndex;
    private long joinAskedMillis;
    private boolean wasLeading;

    private record Proposal(long term, long dueMillis, CompletableFuture<CommandResult> result) {}

    /**
     * What the member needs from the process around it.
     *
     * @param send sends a message to a member; may lose it, not null
     * @param contacts the boxes to ask when this one must join, not null
     * @param snapshotEvery log entries between snapshots
     * @param silentBoxes the boxes that this process no longer hears from, not null
     * @param fatal called when the data folder failed and the process must stop, not null
     */
    public record ControlWiring(
            BiConsumer<Member, AgreementMessage> send,
            List<Member> contacts,
            int snapshotEvery,
            Supplier<Set<String>> silentBoxes,
            Function<IOException, Void> fatal) {}

    /**
     * What other threads may know of the member.
     *
     * @param role its role, not null
     * @param term its term
     * @param leader the leader, null if none is known
     * @param members the members, not null
     * @param established true if it leads and its state is current
     */
    public record View(Role role, long term, Member leader, List<Member> members, boolean established) {}

    /**
     * Creates a member; call {@link #start()} to run it.
     *
     * @param agreement the state machine, recovered from {@code storage}, not null
     * @param storage where it is stored, not null
     * @param holder takes the configuration as it is applied, not null
     * @param clock the time, not null
     * @param wiring the process around it, not null
     * @return the member, not null
     */
    public static ControlMember of(
            Agreement agreement,
            AgreementStorage storage,
            ConfigurationHolder holder,
            Clock clock,
            ControlWiring wiring) {
        return new ControlMember(agreement, storage, holder, clock, wiring);
    }

    private ControlMember(
            Agreement agreement,
            AgreementStorage storage,
            ConfigurationHolder holder,
            Clock clock,
            ControlWiring wiring) {
        this.agreement = agreement;
        this.storage = storage;
        this.holder = holder;
        this.clock = clock;
        this.wiring = wiring;
        this.state = ReplicatedState.restore(agreement.snapshot().state());
        this.appliedIndex = agreement.snapshot().index();
        holder.advanceTo(state.configuration());
        publishView();
        this.thread = new Thread(this::run, "control");
    }

    /** Starts the member's thread. */
    public void start() {
        thread.start();
    }

    /** Returns what is known of the member, not null. */
    public View view() {
        return view;
    }

    /**
     * Takes in a message of the group.
     *
     * @param message the message, not null
     */
    public void receive(AgreementMessage message) {
        queue.add(() -> agreement.receive(message));
    }

    /**
     * Submits a command; times in it are relative to now.
     *
     * @param command the command, not null
     * @return the result once a majority has synced it; {@link CommandResult.NotDone} if that is not known
     */
    public CompletableFuture<CommandResult> submit(Command command) {
        CompletableFuture<CommandResult> result = new CompletableFuture<>();
        queue.add(() -> propose(command, result));
        return result;
    }

    /**
     * Reads the applied state on the member's thread.
     *
     * @param query reads and must not keep the state, not null
     * @return what the query gave
     */
    public <T> CompletableFuture<T> query(Function<ReplicatedState, T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        queue.add(() -> result.complete(query.apply(state)));
        return result;
    }

    /** Hands leadership over and stops the thread. */
    public void stop() {
        queue.add(agreement::transferLeadership);
        queue.add(() -> stopping = true);
        try {
            thread.join(2 * PROPOSAL_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- the member's thread

    private void run() {
        try {
            while (!stopping) {
                runQueued();
                agreement.tick();
                askToJoinIfOutside();
                carryOut(agreement.ready());
                failOverdueProposals();
                publishView();
            }
        } catch (IOException e) {
            LOG.log(Level.ERROR, ResultCode.SYNC_FAILED.number() + " " + ResultCode.SYNC_FAILED.description(), e);
            wiring.fatal().apply(e);
        }
    }

    private void runQueued() {
        List<Runnable> waiting = new ArrayList<>();
        try {
            Runnable first = queue.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
            if (first != null) {
                waiting.add(first);
                queue.drainTo(waiting);
            }
        } catch (InterruptedException e) {
            stopping = true;
        }
        waiting.forEach(Runnable::run);
    }

    private void askToJoinIfOutside() {
        boolean outside = agreement.members().stream().noneMatch(agreement.self()::equals);
        long now = clock.millis();
        if (outside && now - joinAskedMillis >= JOIN_RETRY_MILLIS) {
            joinAskedMillis = now;
            agreement.askToJoin(wiring.contacts());
        }
    }

    private void carryOut(Ready ready) throws IOException {
        if (ready.mustSync()) {
            storage.store(ready);
        }
        for (Ready.Outbound outbound : ready.messages()) {
            wiring.send().accept(outbound.to(), outbound.message());
        }
        if (ready.installed() != null) {
            state = ReplicatedState.restore(ready.installed().state());
            appliedIndex = ready.installed().index();
            holder.advanceTo(state.configuration());
        }
        for (LogEntry entry : ready.committed()) {
            apply(entry);
        }
        if (appliedIndex - agreement.snapshot().index() >= wiring.snapshotEvery()) {
            storage.compact(agreement.compact(appliedIndex, state.snapshot()));
        }
    }

    private void apply(LogEntry entry) {
        appliedIndex = entry.index();
        CommandResult result = new CommandResult.Done();
        if (entry.command().length > 0) {
            Command command = MessagePackCodec.instance().decode(entry.command(), Command.class);
            result = state.apply(entry.index(), command);
            holder.advanceTo(state.configuration());
        }
        Proposal proposal = proposals.remove(entry.index());
        if (proposal != null) {
            boolean mine = proposal.term() == entry.term();
            proposal.result().complete(mine ? result : notDone(ResultCode.NO_QUORUM));
        }
    }

    private void propose(Command command, CompletableFuture<CommandResult> result) {
        if (agreement.role() == Role.LEADER && !agreement.isEstablishedLeader()) {
            result.complete(notDone(ResultCode.NOT_LEADER));
            return;
        }
        if (command instanceof Command.AcquireLease acquire && mustWait(acquire, result)) {
            return;
        }
        Command stamped = CommandStamp.stamp(
                command,
                clock.millis(),
                expiredFence(command),
                wiring.silentBoxes().get());
        boolean idle = stamped instanceof Command.GrantOrigin grant
                && agreement.isEstablishedLeader()
                && !state.wouldChange(grant);
        if (idle) {
            result.complete(new CommandResult.OriginGranted(List.of()));
            return;
        }
        OptionalLong index = agreement.propose(MessagePackCodec.instance().encode(stamped));
        if (index.isEmpty()) {
            result.complete(notDone(ResultCode.NOT_LEADER));
            return;
        }
        long due = clock.millis() + PROPOSAL_TIMEOUT_MILLIS;
        proposals.put(index.getAsLong(), new Proposal(agreement.term(), due, result));
    }

    private boolean mustWait(Command.AcquireLease acquire, CompletableFuture<CommandResult> result) {
        return agreement.isEstablishedLeader()
                && state.leases()
                        .find(acquire.name())
                        .filter(lease -> !lease.holder().equals(acquire.holder()))
                        .filter(lease -> {
                            long remaining = leaseExpiry.remainingMillis(lease, clock.millis());
                            return remaining > 0
                                    && result.complete(new CommandResult.LeaseAnswer(lease, false, remaining));
                        })
                        .isPresent();
    }

    /** Names the lease that has been waited out, so that applying needs no clock. */
    private long expiredFence(Command command) {
        if (!(command instanceof Command.AcquireLease acquire)) {
            return 0;
        }
        return state.leases()
                .find(acquire.name())
                .filter(lease -> leaseExpiry.remainingMillis(lease, clock.millis()) == 0)
                .map(lease -> lease.fence())
                .orElse(0L);
    }

    private void failOverdueProposals() {
        boolean leading = agreement.role() == Role.LEADER;
        if (leading != wasLeading) {
            wasLeading = leading;
            leaseExpiry.restart();
            LOG.log(
                    Level.INFO,
                    agreement.self().box() + (leading ? " leads" : " follows") + ", term " + agreement.term());
        }
        long now = clock.millis();
        proposals.values().removeIf(proposal -> {
            boolean lost = !leading || proposal.term() != agreement.term() || now >= proposal.dueMillis();
            return lost && proposal.result().complete(notDone(ResultCode.NO_QUORUM));
        });
    }

    private CommandResult notDone(ResultCode code) {
        String address = agreement
                .leader()
                .filter(leader -> !leader.equals(agreement.self()))
                .map(Member::address)
                .orElse(null);
        return new CommandResult.NotDone(code, address);
    }

    private void publishView() {
        view = new View(
                agreement.role(),
                agreement.term(),
                agreement.leader().orElse(null),
                agreement.members(),
                agreement.isEstablishedLeader());
    }
}

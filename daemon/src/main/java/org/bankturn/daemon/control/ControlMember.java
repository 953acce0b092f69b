package org.bankturn.daemon.control;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.MembershipEvent;
import org.bankturn.agreement.RaftMessage;
import org.bankturn.agreement.RaftNode;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Role;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.daemon.member.MemberLoop;
import org.bankturn.daemon.member.MemberLoopSettings;
import org.bankturn.daemon.member.ReplicatedStateMachine;
import org.bankturn.lease.LeaseExpiry;
import org.bankturn.result.ResultCode;
import org.bankturn.state.ReplicatedState;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;
import org.bankturn.storage.RaftStorage;
import org.bankturn.time.Clock;

/**
 * A member of the control group, which replicates the operators' configuration, leases and origin grants.
 *
 * <p>Commands are proposed and applied on the thread of its {@link MemberLoop}. A failed write or sync stops the process.
 *
 * <p>ControlMember's public methods are thread-safe.
 */
public final class ControlMember {
    private static final Logger LOG = System.getLogger(ControlMember.class.getName());
    private static final long TICK_MILLIS = 40;
    private static final long PROPOSAL_TIMEOUT_MILLIS = 4_000;
    private static final long JOIN_RETRY_MILLIS = 500;

    private final RaftNode agreement;
    private final RaftStorage storage;
    private final ConfigurationHolder holder;
    private final Clock clock;
    private final ControlWiring wiring;
    private final LeaseExpiry leaseExpiry = new LeaseExpiry();
    private final MemberLoop<CommandResult> loop;
    private ReplicatedState state;
    private volatile View view;

    /**
     * The dependencies that the process supplies.
     *
     * @param send sends a message to a member without guaranteeing delivery, not null
     * @param contacts the members to contact in order to join the group, not null
     * @param snapshotEvery the number of log entries between snapshots
     * @param silentBoxes the boxes whose reports have stopped arriving, not null
     * @param fatal stops the process after a storage failure, not null
     */
    public record ControlWiring(
            BiConsumer<Member, RaftMessage> send,
            List<Member> contacts,
            int snapshotEvery,
            Supplier<Set<String>> silentBoxes,
            Function<IOException, Void> fatal) {}

    /**
     * A snapshot of the state of the member for other threads.
     *
     * @param role its role, not null
     * @param term its term
     * @param leader the leader, null if none is known
     * @param members the members, not null
     * @param established true if it is the leader and has committed an entry of its own term
     */
    public record View(Role role, long term, Member leader, List<Member> members, boolean established) {}

    /**
     * Creates a member; call {@link #start()} to run it.
     *
     * @param agreement the Raft node, recovered from {@code storage}, not null
     * @param storage the storage of the Raft node, not null
     * @param holder receives the configuration as it is applied, not null
     * @param clock the time source, not null
     * @param wiring the dependencies, not null
     * @return the member, not null
     */
    public static ControlMember of(
            RaftNode agreement, RaftStorage storage, ConfigurationHolder holder, Clock clock, ControlWiring wiring) {
        return new ControlMember(agreement, storage, holder, clock, wiring);
    }

    private ControlMember(
            RaftNode agreement, RaftStorage storage, ConfigurationHolder holder, Clock clock, ControlWiring wiring) {
        this.agreement = agreement;
        this.storage = storage;
        this.holder = holder;
        this.clock = clock;
        this.wiring = wiring;
        ControlState controlState = new ControlState();
        MemberLoopSettings timing = new MemberLoopSettings(
                TICK_MILLIS,
                PROPOSAL_TIMEOUT_MILLIS,
                JOIN_RETRY_MILLIS,
                false,
                wiring.snapshotEvery(),
                MemberLoopSettings.DEFAULT_SNAPSHOT_BYTES);
        this.loop = MemberLoop.of(controlState, timing, clock, "control");
        controlState.restore(agreement.snapshot().state());
        controlState.publishView(agreement);
    }

    /** Starts the member's thread. */
    public void start() {
        loop.start();
    }

    /** Returns the latest view of the member, not null. */
    public View view() {
        return view;
    }

    /**
     * Receives a message from another member.
     *
     * @param message the message, not null
     */
    public void receive(RaftMessage message) {
        loop.receive(message);
    }

    /**
     * Submits a command whose times are relative to the time of submission.
     *
     * @param command the command, not null
     * @return the result after the command is committed; {@link CommandResult.NotExecuted} if the commit is not confirmed
     */
    public CompletableFuture<CommandResult> submit(Command command) {
        CompletableFuture<CommandResult> result = new CompletableFuture<>();
        loop.execute(() -> propose(command, result));
        return result;
    }

    /**
     * Reads the applied state on the member's thread.
     *
     * @param query reads the state and must not retain it, not null
     * @return the result of the query
     */
    public <T> CompletableFuture<T> query(Function<ReplicatedState, T> query) {
        return loop.query(() -> query.apply(state));
    }

    /** Transfers leadership and stops the thread. */
    public void stop() {
        loop.stop(2 * PROPOSAL_TIMEOUT_MILLIS);
    }

    private void propose(Command command, CompletableFuture<CommandResult> result) {
        if (agreement.role() == Role.LEADER && !agreement.isEstablishedLeader()) {
            result.complete(notExecuted(ResultCode.NOT_LEADER));
            return;
        }
        if (command instanceof Command.AcquireLease acquire && completeIfLeaseHeld(acquire, result)) {
            return;
        }
        Command stamped = CommandStamp.stamp(
                command,
                clock.millis(),
                expiredFence(command),
                wiring.silentBoxes().get());
        boolean unchanged = stamped instanceof Command.GrantOrigin grant
                && agreement.isEstablishedLeader()
                && !state.wouldChange(grant);
        if (unchanged) {
            result.complete(new CommandResult.OriginGranted(List.of()));
            return;
        }
        if (!loop.propose(MessagePackCodec.instance().encode(stamped), result)) {
            result.complete(notExecuted(ResultCode.NOT_LEADER));
        }
    }

    private boolean completeIfLeaseHeld(Command.AcquireLease acquire, CompletableFuture<CommandResult> result) {
        return agreement.isEstablishedLeader()
                && state.leases()
                        .find(acquire.name())
                        .filter(lease -> !lease.holder().equals(acquire.holder()))
                        .filter(lease -> {
                            long remaining = leaseExpiry.remainingMillis(lease, clock.millis());
                            return remaining > 0
                                    && result.complete(new CommandResult.LeaseState(lease, false, remaining));
                        })
                        .isPresent();
    }

    /** Returns the fence of the expired lease, or 0. Recording it in the command makes its application deterministic. */
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

    private CommandResult notExecuted(ResultCode code) {
        String address = agreement
                .leader()
                .filter(leader -> !leader.equals(agreement.self()))
                .map(Member::address)
                .orElse(null);
        return new CommandResult.NotExecuted(code, address);
    }

    /** Applies committed commands to the replicated state. */
    private final class ControlState implements ReplicatedStateMachine<CommandResult> {
        @Override
        public Recovered recover() {
            return new Recovered(agreement, storage);
        }

        @Override
        public void restore(byte[] snapshot) {
            state = ReplicatedState.restore(snapshot);
            holder.advanceTo(state.configuration());
        }

        @Override
        public byte[] snapshot() {
            return state.snapshot();
        }

        @Override
        public CommandResult apply(LogEntry entry) {
            if (entry.command().length == 0) {
                return new CommandResult.Done();
            }
            Command command = MessagePackCodec.instance().decode(entry.command(), Command.class);
            CommandResult result = state.apply(entry.index(), command);
            holder.advanceTo(state.configuration());
            return result;
        }

        @Override
        public void stateChanged() {
            // apply and restore have already updated the holder
        }

        @Override
        public CommandResult unknownOutcome(RaftNode at) {
            return notExecuted(ResultCode.NO_QUORUM);
        }

        @Override
        public void send(Ready.Outbound message) {
            wiring.send().accept(message.to(), message.message());
        }

        @Override
        public List<Member> contacts() {
            return wiring.contacts();
        }

        @Override
        public void leadershipChanged(RaftNode at) {
            leaseExpiry.reset();
            String event = at.role() == Role.LEADER ? " leads" : " follows";
            LOG.log(Level.INFO, at.self().box() + event + ", term " + at.term());
        }

        @Override
        public void membershipDecided(MembershipEvent event) {
            LOG.log(
                    Level.INFO,
                    event.kind().label() + ": " + event.member().box() + " "
                            + event.kind().reason() + ", silent for "
                            + event.silentMillis() + " ms, " + event.silentMembers() + " of " + event.members()
                            + " members silent");
        }

        @Override
        public void publishView(RaftNode at) {
            view = new View(at.role(), at.term(), at.leader().orElse(null), at.members(), at.isEstablishedLeader());
        }

        @Override
        public boolean storageFailed(IOException failure) {
            ResultCode code = ResultCode.SYNC_FAILED;
            LOG.log(Level.ERROR, code.number() + " " + code.description(), failure);
            wiring.fatal().apply(failure);
            return false;
        }
    }
}

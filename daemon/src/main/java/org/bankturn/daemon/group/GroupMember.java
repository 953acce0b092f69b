package org.bankturn.daemon.group;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
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
import org.bankturn.daemon.member.MemberLoop;
import org.bankturn.daemon.member.MemberLoopSettings;
import org.bankturn.daemon.member.ReplicatedStateMachine;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLine;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;
import org.bankturn.time.Clock;

/**
 * A member of the control group, which replicates the published state.
 *
 * <p>After a failed write to the data folder, the member discards its state in memory and recovers from the folder, as
 * after a restart of the process. Public methods are thread-safe.
 */
public final class GroupMember {
    /** Six election timeouts; the outcome of a submission that is not committed by then is unknown. */
    private static final long SUBMISSION_MILLIS = 3_000;

    /** The step is a quarter of a heartbeat; a snapshot is taken every 512 entries, sooner if they are large. */
    private static final MemberLoopSettings TIMING =
            new MemberLoopSettings(25, SUBMISSION_MILLIS, 400, true, 512, MemberLoopSettings.DEFAULT_SNAPSHOT_BYTES);

    private final Wiring wiring;
    private final MemberLoop<Outcome> loop;
    private PublicationState state;
    private volatile GroupView view = GroupView.unknown();

    /** The outcome of a submission. */
    public enum Outcome {
        /** A majority has synced the command. */
        COMMITTED,
        /** This member does not lead; the command was not proposed. */
        NOT_LEADER,
        /** The command was committed but changed nothing, since a later command was committed before it. */
        SUPERSEDED,
        /** The command may or may not be committed. */
        UNKNOWN
    }

    /** Recovers a member from its data folder. */
    @FunctionalInterface
    public interface Recovery {
        /** Returns the recovered member; throws if the folder cannot be read or initialized. */
        ReplicatedStateMachine.Recovered recover() throws IOException;
    }

    /**
     * The dependencies of a member.
     *
     * @param recovery opens the data folder, not null
     * @param send sends a message to a member without a delivery guarantee, not null
     * @param contacts the members to contact for joining the group, not null
     * @param applied called after each change of the state, on the member's thread, not null
     * @param stepped called after each step, on the member's thread, not null
     * @param log the decision log, not null
     */
    public record Wiring(
            Recovery recovery,
            BiConsumer<Member, RaftMessage> send,
            Supplier<List<Member>> contacts,
            Consumer<PublicationState> applied,
            Consumer<RaftNode> stepped,
            DecisionLog log) {}

    /** Returns a member that is not started yet, not null. */
    public static GroupMember of(Wiring wiring, Clock clock) {
        return new GroupMember(wiring, clock);
    }

    private GroupMember(Wiring wiring, Clock clock) {
        this.wiring = wiring;
        this.loop = MemberLoop.of(new PublicationStateMachine(), TIMING, clock, "group");
    }

    /** Starts the member's thread. */
    public void start() {
        loop.start();
    }

    /** Returns the latest view of the group, not null. */
    public GroupView view() {
        return view;
    }

    /** Handles a message of another member. */
    public void receive(RaftMessage message) {
        loop.receive(message);
    }

    /** Submits a command; the future completes on the member's thread. */
    public CompletableFuture<Outcome> submit(PublicationCommand command) {
        CompletableFuture<Outcome> result = new CompletableFuture<>();
        loop.execute(() -> propose(command, result));
        return result;
    }

    private void propose(PublicationCommand command, CompletableFuture<Outcome> result) {
        RaftNode agreement = loop.raftNode();
        boolean proposed = agreement != null
                && agreement.isEstablishedLeader()
                && loop.propose(MessagePackCodec.instance().encode(command), result);
        if (!proposed) {
            result.complete(Outcome.NOT_LEADER);
        }
    }

    /** Reads the applied state on the member's thread. */
    public <T> CompletableFuture<T> query(Function<PublicationState, T> query) {
        return loop.query(() -> query.apply(state));
    }

    /** Reads the state of the Raft node on the member's thread. */
    public <T> CompletableFuture<T> inspect(Function<RaftNode, T> query) {
        return loop.query(() -> query.apply(loop.raftNode()));
    }

    /** Transfers leadership and stops the thread. */
    public void stop() {
        loop.stop(SUBMISSION_MILLIS);
    }

    /** The replicated state machine that the member loop drives. */
    private final class PublicationStateMachine implements ReplicatedStateMachine<Outcome> {
        @Override
        public Recovered recover() throws IOException {
            Recovered recovered = wiring.recovery().recover();
            RaftNode agreement = recovered.raftNode();
            wiring.log()
                    .line(DecisionKind.GROUP)
                    .with(DecisionField.EVENT, "recovered")
                    .with(DecisionField.TERM, agreement.term())
                    .with(DecisionField.LAST, agreement.lastIndex())
                    .with(DecisionField.MEMBERS, agreement.members().size())
                    .write();
            return recovered;
        }

        @Override
        public void restore(byte[] snapshot) {
            state = PublicationState.restore(snapshot);
        }

        @Override
        public byte[] snapshot() {
            return state.snapshot();
        }

        @Override
        public Outcome apply(LogEntry entry) {
            if (entry.command().length > 0) {
                PublicationCommand command =
                        MessagePackCodec.instance().decode(entry.command(), PublicationCommand.class);
                boolean changed = state.apply(entry.index(), command);
                // other commands are also accepted if the state already reflects them
                return !changed && command instanceof PublicationCommand.Evacuate
                        ? Outcome.SUPERSEDED
                        : Outcome.COMMITTED;
            }
            return Outcome.COMMITTED;
        }

        @Override
        public void stateChanged() {
            wiring.applied().accept(state);
        }

        @Override
        public Outcome unknownOutcome(RaftNode agreement) {
            return Outcome.UNKNOWN;
        }

        @Override
        public void send(Ready.Outbound message) {
            wiring.send().accept(message.to(), message.message());
        }

        @Override
        public List<Member> contacts() {
            return wiring.contacts().get();
        }

        @Override
        public void leadershipChanged(RaftNode agreement) {
            String event = agreement.role() == Role.LEADER ? "leads" : "follows";
            wiring.log()
                    .line(DecisionKind.GROUP)
                    .with(DecisionField.EVENT, event)
                    .with(DecisionField.TERM, agreement.term())
                    .write();
        }

        @Override
        public void membershipDecided(MembershipEvent event) {
            RaftNode agreement = loop.raftNode();
            DecisionLine line = wiring.log()
                    .line(DecisionKind.GROUP)
                    .with(DecisionField.EVENT, event.kind().label())
                    .with(DecisionField.ADDRESS, event.member().address())
                    .with(DecisionField.REASON, event.kind().reason())
                    .with(DecisionField.SILENT_MS, event.silentMillis())
                    .with(DecisionField.MEMBERS, event.members())
                    .with(DecisionField.SILENT_MEMBERS, event.silentMembers())
                    .with(DecisionField.MATCH_INDEX, event.matchIndex())
                    .with(DecisionField.COMMIT_INDEX, agreement.commitIndex())
                    .with(DecisionField.LAST, agreement.lastIndex())
                    .with(DecisionField.TERM, agreement.term());
            if (agreement.role() == Role.LEADER) {
                line.with(DecisionField.TOLERABLE_LOSSES, agreement.tolerableLosses());
            }
            line.write();
        }

        @Override
        public void publishView(RaftNode agreement) {
            wiring.stepped().accept(agreement);
            Member leader = agreement.leader().orElse(null);
            boolean leads = agreement.isEstablishedLeader();
            boolean hasLeader = leads || (leader != null && agreement.role() == Role.FOLLOWER);
            view = new GroupView(
                    agreement.self(), leader, agreement.members(), leads, hasLeader, agreement.lastUpToDateMillis());
        }

        @Override
        public boolean storageFailed(IOException failure) {
            wiring.log()
                    .line(DecisionKind.LOST)
                    .with(DecisionField.DEPENDENCY, "data folder")
                    .with(DecisionField.ERROR, failure.getMessage())
                    .write();
            view = GroupView.unknown();
            return true;
        }
    }
}

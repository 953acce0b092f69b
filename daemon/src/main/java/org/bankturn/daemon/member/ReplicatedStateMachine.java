package org.bankturn.daemon.member;

import java.io.IOException;
import java.util.List;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.MembershipEvent;
import org.bankturn.agreement.RaftNode;
import org.bankturn.agreement.Ready;
import org.bankturn.storage.RaftStorage;

/**
 * The replicated state that a {@link MemberLoop} drives, and the callbacks to the process of the member.
 *
 * <p>All methods are called on the member's thread.
 *
 * @param <R> the result of an applied command
 */
public interface ReplicatedStateMachine<R> {
    /** Recovers the member from its data folder; throws if the folder cannot be read or initialized. */
    Recovered recover() throws IOException;

    /** Replaces the state with that of a snapshot. */
    void restore(byte[] snapshot);

    /** Returns an encoded snapshot of the state, not null. */
    byte[] snapshot();

    /** Applies a committed entry and returns the result for its submitter. */
    R apply(LogEntry entry);

    /** Called after committed entries or a snapshot have been applied. */
    void stateChanged();

    /** Returns the result of a command that may or may not be committed. */
    R unknownOutcome(RaftNode raftNode);

    /** Sends a message to a member without a delivery guarantee. */
    void send(Ready.Outbound message);

    /** Returns the members to contact for joining the group, not null. */
    List<Member> contacts();

    /** Called after this member became the leader or lost leadership. */
    void leadershipChanged(RaftNode raftNode);

    /** Called for each decision about the membership of the group. */
    void membershipDecided(MembershipEvent event);

    /** Publishes the status of the member to other threads. */
    void publishView(RaftNode raftNode);

    /**
     * Called after a failure of the data folder; the loop has discarded its state in memory.
     *
     * @return true to recover from the folder again, false to end the loop
     */
    boolean storageFailed(IOException failure);

    /**
     * A member recovered from its data folder.
     *
     * @param raftNode the Raft node, not null
     * @param storage the persistent storage, not null
     */
    record Recovered(RaftNode raftNode, RaftStorage storage) {}
}

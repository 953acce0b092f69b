package org.bankturn.daemon.member;

import java.io.IOException;
import java.util.List;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.RaftNode;
import org.bankturn.agreement.Ready;
import org.bankturn.storage.RaftStorage;

/**
 * What a {@link MemberLoop} drives: the state that the group replicates, and the process around it.
 *
 * <p>Every method is called on the member's thread.
 *
 * @param <R> what is told of a command once it is applied
 */
public interface ReplicatedStateMachine<R> {
    /** Opens the data folder and returns what it holds; throws if it cannot be read or prepared. */
    Recovered recover() throws IOException;

    /** Takes the state from a snapshot, in place of what there was. */
    void restore(byte[] snapshot);

    /** Returns the whole state, encoded, not null. */
    byte[] snapshot();

    /** Applies a committed entry and returns what is told to the one that submitted it. */
    R apply(LogEntry entry);

    /** Hears that committed entries or a snapshot have been taken in. */
    void stateChanged();

    /** Returns what is told of a command whose fate is unknown. */
    R unknownOutcome(RaftNode agreement);

    /** Sends a message to a member; may lose it. */
    void send(Ready.Outbound message);

    /** Returns the boxes to ask when this one must join, not null. */
    List<Member> contacts();

    /** Hears that this member began or ceased to lead. */
    void leadershipChanged(RaftNode agreement);

    /** Lets other threads know where the member stands. */
    void publishView(RaftNode agreement);

    /**
     * Hears that the data folder failed; what the loop held in memory is forgotten.
     *
     * @return true if the member shall start anew from what the folder holds, false if it shall end
     */
    boolean storageFailed(IOException failure);

    /**
     * A member as its folder holds it.
     *
     * @param raftNode the state machine, not null
     * @param storage its storage, not null
     */
    record Recovered(RaftNode raftNode, RaftStorage storage) {}
}

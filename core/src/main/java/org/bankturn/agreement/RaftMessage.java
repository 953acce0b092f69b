package org.bankturn.agreement;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** A message between members of a Raft group. Messages may be lost, duplicated, delayed or reordered. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = RaftMessage.VoteRequest.class, name = "voteRequest"),
    @JsonSubTypes.Type(value = RaftMessage.VoteReply.class, name = "voteReply"),
    @JsonSubTypes.Type(value = RaftMessage.AppendRequest.class, name = "appendRequest"),
    @JsonSubTypes.Type(value = RaftMessage.AppendReply.class, name = "appendReply"),
    @JsonSubTypes.Type(value = RaftMessage.SnapshotRequest.class, name = "snapshotRequest"),
    @JsonSubTypes.Type(value = RaftMessage.TimeoutNow.class, name = "electNow"),
    @JsonSubTypes.Type(value = RaftMessage.JoinRequest.class, name = "joinRequest")
})
public sealed interface RaftMessage {
    /** Returns the sender, not null. */
    Member from();

    /** Returns the sender's term, or the prospective term in a pre-vote. */
    long term();

    /** Requests a vote, or asks whether the vote would be granted if {@code preVote} is set. */
    record VoteRequest(
            Member from, long term, @JsonProperty("trial") boolean preVote, long lastIndex, long lastTerm)
            implements RaftMessage {}

    /** Replies to a {@link VoteRequest}. */
    record VoteReply(
            Member from, long term, @JsonProperty("trial") boolean preVote, boolean granted) implements RaftMessage {}

    /** Replicates the entries after {@code previousIndex}; without entries, serves as a heartbeat. */
    record AppendRequest(
            Member from, long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex)
            implements RaftMessage {}

    /**
     * Replies to an {@link AppendRequest} or a {@link SnapshotRequest}. {@code matchIndex} is the last index that
     * matches the leader's log or, if {@code accepted} is false, the index after which the leader should retry.
     */
    record AppendReply(Member from, long term, boolean accepted, long matchIndex) implements RaftMessage {}

    /** Sends a snapshot to a member whose next entry has been compacted. */
    record SnapshotRequest(Member from, long term, Snapshot snapshot) implements RaftMessage {}

    /** Tells a member to start an election immediately, to transfer leadership. */
    record TimeoutNow(Member from, long term) implements RaftMessage {}

    /**
     * Requests admission to the group. {@code from} is the member that wants to join; {@code term} is 0 if that member
     * sent the request, otherwise the term of the follower that passed it on to its leader.
     */
    record JoinRequest(Member from, long term) implements RaftMessage {
        /** Returns a request as the joining member sends it, not null. */
        static JoinRequest of(Member joining) {
            return new JoinRequest(joining, 0);
        }

        /** Returns this request as a follower passes it on, not null. */
        JoinRequest passedOn(long followerTerm) {
            return new JoinRequest(from, followerTerm);
        }

        /** Returns true if a follower passed this request on. */
        boolean isPassedOn() {
            return term > 0;
        }
    }
}

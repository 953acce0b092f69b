package org.bankturn.agreement;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A message between members of an agreement group; any may be lost, doubled, late or out of order.
 */
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

    /** Returns the sender's term, or the term asked for. */
    long term();

    /** Asks for a vote, or with {@code trial} whether a vote would be given (pre-vote). */
    record VoteRequest(
            Member from, long term, @JsonProperty("trial") boolean preVote, long lastIndex, long lastTerm)
            implements RaftMessage {}

    /** Answers a request for a vote. */
    record VoteReply(
            Member from, long term, @JsonProperty("trial") boolean preVote, boolean granted) implements RaftMessage {}

    /** Carries entries after {@code previousIndex}, or none as a heartbeat. */
    record AppendRequest(
            Member from, long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex)
            implements RaftMessage {}

    /** Says up to where the sender's synced log agrees, or with {@code accepted} false from where to try again. */
    record AppendReply(Member from, long term, boolean accepted, long matchIndex) implements RaftMessage {}

    /** Carries a snapshot to a member whose next entry is no longer in the log. */
    record SnapshotRequest(Member from, long term, Snapshot snapshot) implements RaftMessage {}

    /** Tells a member to stand for election at once, since the leader is stopping as planned. */
    record TimeoutNow(Member from, long term) implements RaftMessage {}

    /** Asks to be admitted with an empty disk; the term is always 0. */
    record JoinRequest(Member from, long term) implements RaftMessage {}
}

package org.bankturn.agreement;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A message between members of an agreement group; any may be lost, doubled, late or out of order.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = AgreementMessage.VoteRequest.class, name = "voteRequest"),
    @JsonSubTypes.Type(value = AgreementMessage.VoteReply.class, name = "voteReply"),
    @JsonSubTypes.Type(value = AgreementMessage.AppendRequest.class, name = "appendRequest"),
    @JsonSubTypes.Type(value = AgreementMessage.AppendReply.class, name = "appendReply"),
    @JsonSubTypes.Type(value = AgreementMessage.SnapshotRequest.class, name = "snapshotRequest"),
    @JsonSubTypes.Type(value = AgreementMessage.ElectNow.class, name = "electNow"),
    @JsonSubTypes.Type(value = AgreementMessage.JoinRequest.class, name = "joinRequest")
})
public sealed interface AgreementMessage {
    /** Returns the sender, not null. */
    Member from();

    /** Returns the sender's term, or the term asked for. */
    long term();

    /** Asks for a vote, or with {@code trial} whether a vote would be given (pre-vote). */
    record VoteRequest(Member from, long term, boolean trial, long lastIndex, long lastTerm)
            implements AgreementMessage {}

    /** Answers a request for a vote. */
    record VoteReply(Member from, long term, boolean trial, boolean granted) implements AgreementMessage {}

    /** Carries entries after {@code previousIndex}, or none as a heartbeat. */
    record AppendRequest(
            Member from, long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex)
            implements AgreementMessage {}

    /** Says up to where the sender's synced log agrees, or with {@code accepted} false from where to try again. */
    record AppendReply(Member from, long term, boolean accepted, long matchIndex) implements AgreementMessage {}

    /** Carries a snapshot to a member whose next entry is no longer in the log. */
    record SnapshotRequest(Member from, long term, Snapshot snapshot) implements AgreementMessage {}

    /** Tells a member to stand for election at once, since the leader is stopping as planned. */
    record ElectNow(Member from, long term) implements AgreementMessage {}

    /** Asks to be admitted with an empty disk; the term is always 0. */
    record JoinRequest(Member from, long term) implements AgreementMessage {}
}

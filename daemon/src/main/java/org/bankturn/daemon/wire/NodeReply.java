package org.bankturn.daemon.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bankturn.configuration.ConfigurationUpdate;
import org.bankturn.daemon.group.GroupMember;
import org.bankturn.membership.TargetStatus;
import org.bankturn.publication.PublicationUpdate;
import org.bankturn.routing.EngineLoad;
import org.bankturn.state.command.CommandResult;
import org.bankturn.state.query.ShowReply;
import org.bankturn.state.query.StatusReply;

/** A reply to a {@link NodeRequest}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "answer")
@JsonSubTypes({
    @JsonSubTypes.Type(value = NodeReply.Acknowledged.class, name = "received"),
    @JsonSubTypes.Type(value = NodeReply.Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = NodeReply.CommandOutcome.class, name = "submitted"),
    @JsonSubTypes.Type(value = NodeReply.FetchedConfiguration.class, name = "fetched"),
    @JsonSubTypes.Type(value = NodeReply.Status.class, name = "status"),
    @JsonSubTypes.Type(value = NodeReply.History.class, name = "history"),
    @JsonSubTypes.Type(value = NodeReply.Target.class, name = "target"),
    @JsonSubTypes.Type(value = NodeReply.ManifestText.class, name = "manifestText"),
    @JsonSubTypes.Type(value = NodeReply.HeldChunks.class, name = "holds"),
    @JsonSubTypes.Type(value = NodeReply.Chunk.class, name = "chunk"),
    @JsonSubTypes.Type(value = NodeReply.PublicationOutcome.class, name = "outcome"),
    @JsonSubTypes.Type(value = NodeReply.Document.class, name = "document"),
    @JsonSubTypes.Type(value = NodeReply.WatchedPublication.class, name = "watched"),
    @JsonSubTypes.Type(value = NodeReply.Piece.class, name = "piece"),
    @JsonSubTypes.Type(value = NodeReply.Load.class, name = "load"),
    @JsonSubTypes.Type(value = NodeReply.PieceAvailability.class, name = "there"),
    @JsonSubTypes.Type(value = NodeReply.Permit.class, name = "permit")
})
public sealed interface NodeReply {
    /** The message was received. */
    record Acknowledged() implements NodeReply {}

    /** The request failed; whether it took effect is unknown. */
    record Failed(String reason) implements NodeReply {}

    /** The result of a command. */
    record CommandOutcome(CommandResult result) implements NodeReply {}

    /** The latest configuration index, with the update to it if the client's is older. */
    record FetchedConfiguration(long index, ConfigurationUpdate update) implements NodeReply {}

    /** The status of all processes. */
    record Status(StatusReply status) implements NodeReply {}

    /** The history of accepted files. */
    record History(ShowReply history) implements NodeReply {}

    /** The status of a target process. */
    record Target(TargetStatus status) implements NodeReply {}

    /** The text of a manifest, null if it is unknown. */
    record ManifestText(String text) implements NodeReply {}

    /** The chunks that a box holds, as the longs of a {@link java.util.BitSet}. */
    record HeldChunks(long[] chunks, int count) implements NodeReply {}

    /** A chunk, null if it is not held, or if {@code busy} because the link is in use. */
    record Chunk(byte[] bytes, boolean busy) implements NodeReply {}

    /** The outcome of a publication change. */
    record PublicationOutcome(GroupMember.Outcome outcome) implements NodeReply {}

    /** The latest document; {@code deflated} is null if the client has it already or there is none. */
    record Document(long version, byte[] deflated) implements NodeReply {}

    /**
     * The published state.
     *
     * @param update the update, null if nothing is newer
     * @param fresh true if the sender is in contact with a majority
     * @param waited true if, when asked, the sender was in contact with a majority and had nothing newer
     * @param dataHall the sender's data hall
     * @param members the node addresses of the group's members
     * @param watchers the number of processes that watch the sender
     */
    record WatchedPublication(
            PublicationUpdate update,
            boolean fresh,
            boolean waited,
            String dataHall,
            List<String> members,
            int watchers)
            implements NodeReply {}

    /**
     * The answer to a {@link NodeRequest.RequestPermit}.
     *
     * @param limited true if the target is known to declare a rate limit
     * @param perSecond the limit on requests per second from all gateways, 0 if there is none
     * @param ageMillis the age of the target's declaration
     * @param granted true if a permit was reserved
     * @param inMillis the delay until the permit may be used, or until the next request for one
     */
    record Permit(boolean limited, double perSecond, long ageMillis, boolean granted, long inMillis)
            implements NodeReply {}

    /** A piece of weights, null if it is not held. */
    record Piece(byte[] bytes) implements NodeReply {}

    /** Whether an awaited piece is available. */
    record PieceAvailability(boolean there) implements NodeReply {}

    /**
     * The load of the engine next to the process that replies.
     *
     * @param load the last load report, null if there is no recent one
     * @param ageMillis the age of the report
     * @param breaksOffInMillis the time until the engine interrupts its running requests, 0 if none is planned
     */
    record Load(EngineLoad load, long ageMillis, long breaksOffInMillis) implements NodeReply {}
}

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

/** What a process answers to a {@link NodeRequest}. */
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
    /** The message was taken in. */
    record Acknowledged() implements NodeReply {}

    /** The request could not be answered; nothing is known of its effect. */
    record Failed(String reason) implements NodeReply {}

    /** What came of a command. */
    record CommandOutcome(CommandResult result) implements NodeReply {}

    /** The newest configuration index here, with the step to it if the asker's is older. */
    record FetchedConfiguration(long index, ConfigurationUpdate update) implements NodeReply {}

    /** How all processes are. */
    record Status(StatusReply status) implements NodeReply {}

    /** Every accepted file. */
    record History(ShowReply history) implements NodeReply {}

    /** How a target process is. */
    record Target(TargetStatus status) implements NodeReply {}

    /** A manifest's text, null if it is not known here. */
    record ManifestText(String text) implements NodeReply {}

    /** The chunks held here, as a bit set of little-endian longs. */
    record HeldChunks(long[] chunks, int count) implements NodeReply {}

    /** A chunk, null if it is not held here or {@code busy} tells that the link is taken. */
    record Chunk(byte[] bytes, boolean busy) implements NodeReply {}

    /** What came of a change of what is published. */
    record PublicationOutcome(GroupMember.Outcome outcome) implements NodeReply {}

    /** The newest document; {@code deflated} is null if the asker has it or there is none. */
    record Document(long version, byte[] deflated) implements NodeReply {}

    /**
     * What is published; {@code update} is null if nothing is newer, {@code fresh} tells whether the sender is in touch
     * with a majority, {@code waited} that it was so when it was asked, and that nothing was newer then.
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
     * What a gateway that asked for a permit is told.
     *
     * @param limited true if the target names a limit, as far as is known
     * @param perSecond the requests a second that it takes from all gateways, 0 if it names no limit
     * @param ageMillis how long ago it said so
     * @param granted true if a permit was reserved
     * @param inMillis when the permit may be used, or when to ask again
     */
    record Permit(boolean limited, double perSecond, long ageMillis, boolean granted, long inMillis)
            implements NodeReply {}

    /** A piece of weights, null if it is not held here. */
    record Piece(byte[] bytes) implements NodeReply {}

    /** Whether a piece that was waited for is there now. */
    record PieceAvailability(boolean there) implements NodeReply {}

    /**
     * What is known of an engine beside the process that is asked.
     *
     * @param load what the engine said of its load, null if it said nothing lately
     * @param ageMillis how long ago that was
     * @param breaksOffInMillis how long until it breaks off what it runs, 0 if that is not planned
     */
    record Load(EngineLoad load, long ageMillis, long breaksOffInMillis) implements NodeReply {}
}

package org.bankturn.daemon.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bankturn.agreement.RaftMessage;
import org.bankturn.membership.ProcessReport;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.state.command.Command;

/** What one process asks of another. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "ask")
@JsonSubTypes({
    @JsonSubTypes.Type(value = NodeRequest.DeliverRaftMessage.class, name = "agree"),
    @JsonSubTypes.Type(value = NodeRequest.Submit.class, name = "submit"),
    @JsonSubTypes.Type(value = NodeRequest.FetchConfiguration.class, name = "fetchConfiguration"),
    @JsonSubTypes.Type(value = NodeRequest.ForwardReports.class, name = "forwardReports"),
    @JsonSubTypes.Type(value = NodeRequest.GetStatus.class, name = "getStatus"),
    @JsonSubTypes.Type(value = NodeRequest.GetHistory.class, name = "getHistory"),
    @JsonSubTypes.Type(value = NodeRequest.GetTargetStatus.class, name = "getTargetStatus"),
    @JsonSubTypes.Type(value = NodeRequest.GetManifest.class, name = "getManifest"),
    @JsonSubTypes.Type(value = NodeRequest.GetHeldChunks.class, name = "getHolds"),
    @JsonSubTypes.Type(value = NodeRequest.GetChunk.class, name = "getChunk"),
    @JsonSubTypes.Type(value = NodeRequest.SubmitPublication.class, name = "publish"),
    @JsonSubTypes.Type(value = NodeRequest.ProposePublication.class, name = "propose"),
    @JsonSubTypes.Type(value = NodeRequest.ReadDocument.class, name = "document"),
    @JsonSubTypes.Type(value = NodeRequest.WatchPublication.class, name = "watch"),
    @JsonSubTypes.Type(value = NodeRequest.ReportHeartbeats.class, name = "beats"),
    @JsonSubTypes.Type(value = NodeRequest.GetPiece.class, name = "piece"),
    @JsonSubTypes.Type(value = NodeRequest.GetLoad.class, name = "load"),
    @JsonSubTypes.Type(value = NodeRequest.AwaitPiece.class, name = "await"),
    @JsonSubTypes.Type(value = NodeRequest.RequestPermit.class, name = "permit"),
    @JsonSubTypes.Type(value = NodeRequest.Announce.class, name = "announce")
})
public sealed interface NodeRequest {
    /** Carries a message of the agreement group; the reply says nothing. */
    record DeliverRaftMessage(RaftMessage message) implements NodeRequest {}

    /** Submits a command to the leader; times in it are relative, the leader makes them absolute. */
    record Submit(Command command) implements NodeRequest {}

    /** Asks for a newer configuration than the one held, waiting for one if need be, and passes reports up. */
    record FetchConfiguration(long haveIndex, long waitMillis, List<ProcessReport> reports) implements NodeRequest {}

    /** Passes reports on to the leader. */
    record ForwardReports(List<ProcessReport> reports) implements NodeRequest {}

    /** Asks the leader how all processes are. */
    record GetStatus() implements NodeRequest {}

    /** Asks the leader for every accepted file. */
    record GetHistory() implements NodeRequest {}

    /** Asks a target process how it is. */
    record GetTargetStatus() implements NodeRequest {}

    /** Asks for the text of a manifest. */
    record GetManifest(String manifest) implements NodeRequest {}

    /** Asks which chunks a box holds, waiting until there are more than {@code knownCount}. */
    record GetHeldChunks(String manifest, int knownCount, long waitMillis) implements NodeRequest {}

    /** Asks for a chunk. */
    record GetChunk(String manifest, int chunk) implements NodeRequest {}

    /** Submits a change of what is published to the leader. */
    record SubmitPublication(PublicationCommand command) implements NodeRequest {}

    /** Has any control process see to a change of what is published; received once it is committed. */
    record ProposePublication(PublicationCommand command) implements NodeRequest {}

    /** Asks the leader for the newest document, confirmed; it is left out if the asker's version is the newest. */
    record ReadDocument(long haveVersion) implements NodeRequest {}

    /** Asks for what is published after an index, waiting for it if need be. */
    record WatchPublication(long haveIndex, long waitMillis) implements NodeRequest {}

    /** Tells the leader which targets were heard from. */
    record ReportHeartbeats(List<String> targets) implements NodeRequest {}

    /** Asks for a piece of a version of a model's weights. */
    record GetPiece(String model, int version, int piece) implements NodeRequest {}

    /** Asks to be told when a piece of a version of a model's weights is there. */
    record AwaitPiece(String model, int version, int piece, long waitMillis) implements NodeRequest {}

    /** Says that a process of bankturn is there which other processes must find, as targets say of themselves. */
    record Announce(TargetSighting sighting) implements NodeRequest {}

    /**
     * Asks the gateway that is responsible for a rate-limited target for a permit, and tells what is known of the limit.
     *
     * @param target the target's incarnation, not null
     * @param gateway the gateway that asks, not null
     * @param limited true if the target names a limit
     * @param perSecond the requests a second that it takes from all gateways, 0 if it names no limit
     * @param ageMillis how long ago it said so
     * @param wants true if the gateway wants a permit
     */
    record RequestPermit(
            String target, String gateway, boolean limited, double perSecond, long ageMillis, boolean wants)
            implements NodeRequest {}

    /** Asks a target process for its engine's load. */
    record GetLoad() implements NodeRequest {}
}

package org.bankturn.daemon.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bankturn.agreement.RaftMessage;
import org.bankturn.membership.ProcessReport;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.state.command.Command;

/** A request from one process to another. */
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
    /** Delivers a message of the consensus protocol; the reply is only an acknowledgement. */
    record DeliverRaftMessage(RaftMessage message) implements NodeRequest {}

    /** Submits a command to the leader; its times are relative and made absolute by the leader. */
    record Submit(Command command) implements NodeRequest {}

    /** Fetches a configuration newer than {@code haveIndex}, by long polling, and delivers process reports. */
    record FetchConfiguration(long haveIndex, long waitMillis, List<ProcessReport> reports) implements NodeRequest {}

    /** Forwards process reports to the leader. */
    record ForwardReports(List<ProcessReport> reports) implements NodeRequest {}

    /** Asks the leader for the status of all processes. */
    record GetStatus() implements NodeRequest {}

    /** Asks the leader for the history of accepted files. */
    record GetHistory() implements NodeRequest {}

    /** Asks a target process for its status. */
    record GetTargetStatus() implements NodeRequest {}

    /** Asks for the text of a manifest. */
    record GetManifest(String manifest) implements NodeRequest {}

    /** Asks which chunks a box holds, by long polling until there are more than {@code knownCount}. */
    record GetHeldChunks(String manifest, int knownCount, long waitMillis) implements NodeRequest {}

    /** Asks for a chunk. */
    record GetChunk(String manifest, int chunk) implements NodeRequest {}

    /** Submits a publication change to the leader. */
    record SubmitPublication(PublicationCommand command) implements NodeRequest {}

    /** Proposes a publication change to any control process, which acknowledges it once it is committed. */
    record ProposePublication(PublicationCommand command) implements NodeRequest {}

    /** Performs a linearizable read of the latest document, omitted from the reply if {@code haveVersion} is current. */
    record ReadDocument(long haveVersion) implements NodeRequest {}

    /** Watches for publications after an index, by long polling. */
    record WatchPublication(long haveIndex, long waitMillis) implements NodeRequest {}

    /** Reports to the leader which targets sent heartbeats. */
    record ReportHeartbeats(List<String> targets) implements NodeRequest {}

    /** Asks for a piece of one version of a model's weights. */
    record GetPiece(String model, int version, int piece) implements NodeRequest {}

    /** Waits until a piece of one version of a model's weights is available. */
    record AwaitPiece(String model, int version, int piece, long waitMillis) implements NodeRequest {}

    /** Announces a bankturn process that other processes must discover, as targets announce themselves. */
    record Announce(TargetSighting sighting) implements NodeRequest {}

    /**
     * Requests a permit from the gateway responsible for a rate-limited target, and reports the limit as known.
     *
     * @param target the target's incarnation, not null
     * @param gateway the requesting gateway, not null
     * @param limited true if the target declares a rate limit
     * @param perSecond the limit on requests per second from all gateways, 0 if there is none
     * @param ageMillis the age of the target's declaration
     * @param wants true if the gateway needs a permit
     */
    record RequestPermit(
            String target, String gateway, boolean limited, double perSecond, long ageMillis, boolean wants)
            implements NodeRequest {}

    /** Asks a target process for the load of its engine. */
    record GetLoad() implements NodeRequest {}
}

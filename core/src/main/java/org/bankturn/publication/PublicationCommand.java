package org.bankturn.publication;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bankturn.crash.CompletedPart;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.registry.Evidence;
import org.bankturn.registry.TargetSighting;

/** A command in the replicated log that changes the published state. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PublicationCommand.PutDocument.class, name = "put"),
    @JsonSubTypes.Type(value = PublicationCommand.NameWeights.class, name = "weights"),
    @JsonSubTypes.Type(value = PublicationCommand.RecordTarget.class, name = "target"),
    @JsonSubTypes.Type(value = PublicationCommand.RemoveTarget.class, name = "gone"),
    @JsonSubTypes.Type(value = PublicationCommand.RecordOutcomes.class, name = "runs"),
    @JsonSubTypes.Type(value = PublicationCommand.TakeTrial.class, name = "trial"),
    @JsonSubTypes.Type(value = PublicationCommand.TakePartTrial.class, name = "part-trial"),
    @JsonSubTypes.Type(value = PublicationCommand.ReturnPartTrial.class, name = "part-untried"),
    @JsonSubTypes.Type(value = PublicationCommand.ClearPart.class, name = "part-cleared"),
    @JsonSubTypes.Type(value = PublicationCommand.Confirm.class, name = "confirm"),
    @JsonSubTypes.Type(value = PublicationCommand.Evacuate.class, name = "evacuate")
})
public sealed interface PublicationCommand {
    /** Publishes a deflated operators' document; the highest version wins. */
    record PutDocument(long version, byte[] deflated) implements PublicationCommand {}

    /** Selects a version of a model's weights; the highest version wins. */
    record NameWeights(String model, int version) implements PublicationCommand {}

    /**
     * Records a target's heartbeat.
     *
     * @param sighting the content of the heartbeat, not null
     * @param evidence the evidence for its address; commands of earlier versions have none
     */
    record RecordTarget(TargetSighting sighting, Evidence evidence) implements PublicationCommand {
        /** Defaults to {@link Evidence#ARRIVAL} for commands that an earlier version stored. */
        public RecordTarget {
            evidence = evidence == null ? Evidence.ARRIVAL : evidence;
        }
    }

    /**
     * Removes an incarnation and all earlier incarnations of the same target.
     *
     * @param id the incarnation, not null
     * @param name the target's name; defaults to the incarnation if null
     * @param bornMillis the start time of the incarnation, 0 if unknown
     * @param byItself true if the target was removed at its own request
     */
    record RemoveTarget(String id, String name, long bornMillis, boolean byItself) implements PublicationCommand {
        /** Defaults the name to the incarnation. */
        public RemoveTarget {
            name = name == null ? id : name;
        }

        /** Creates the removal of an incarnation that is registered, or that is also the target's name. */
        public RemoveTarget(String id, boolean byItself) {
            this(id, id, 0, byItself);
        }
    }

    /**
     * Records crashed targets with the requests in flight there, and requests and prompt parts that completed.
     *
     * @param ended the crashed targets, not null
     * @param ranWhole the requests that completed since, not null
     * @param completedParts the prompt parts that ran to their end; commands of earlier versions have none
     */
    record RecordOutcomes(
            List<EndedTarget> ended,
            List<RequestFingerprint> ranWhole,
            // omitted when empty, so that outcomes without prompt parts are stored as in earlier builds
            @JsonInclude(JsonInclude.Include.NON_EMPTY) List<CompletedPart> completedParts)
            implements PublicationCommand {
        /** Copies the lists. */
        public RecordOutcomes {
            ended = List.copyOf(ended);
            ranWhole = List.copyOf(ranWhole);
            completedParts = completedParts == null ? List.of() : List.copyOf(completedParts);
        }
    }

    /** Takes the trial of a condemned prompt part with a number; it is granted to the first process that asks. */
    record TakePartTrial(String part, int number, String who) implements PublicationCommand {}

    /** Returns the last trial of a prompt part, whose request was sent to no target. */
    record ReturnPartTrial(String part, String who) implements PublicationCommand {}

    /** Forgets the crashes of a prompt part, at the request of an operator. */
    record ClearPart(String part) implements PublicationCommand {}

    /** Takes the trial of a condemned request with a number; it is granted to the first process that asks. */
    record TakeTrial(RequestFingerprint request, int number, String who) implements PublicationCommand {}

    /** Changes nothing; its commit proves to the submitter that it has applied all earlier entries. */
    record Confirm() implements PublicationCommand {}

    /**
     * Starts or ends the evacuation of a data hall, unless a later order for the hall took effect in the meantime.
     *
     * @param hall the name of the data hall, not null
     * @param start true to start, false to end the evacuation
     * @param lastOrderIndex the index of the hall's last order when the control process received this one, 0 for none
     */
    record Evacuate(String hall, boolean start, long lastOrderIndex) implements PublicationCommand {}
}

package org.bankturn.publication;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.registry.Evidence;
import org.bankturn.registry.TargetSighting;

/** A change of what is published, as it stands in the agreement log. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PublicationCommand.PutDocument.class, name = "put"),
    @JsonSubTypes.Type(value = PublicationCommand.NameWeights.class, name = "weights"),
    @JsonSubTypes.Type(value = PublicationCommand.RecordTarget.class, name = "target"),
    @JsonSubTypes.Type(value = PublicationCommand.RemoveTarget.class, name = "gone"),
    @JsonSubTypes.Type(value = PublicationCommand.RecordOutcomes.class, name = "runs"),
    @JsonSubTypes.Type(value = PublicationCommand.TakeTrial.class, name = "trial"),
    @JsonSubTypes.Type(value = PublicationCommand.Confirm.class, name = "confirm")
})
public sealed interface PublicationCommand {
    /** Publishes an operators' document, deflated; the highest version wins. */
    record PutDocument(long version, byte[] deflated) implements PublicationCommand {}

    /** Names a version of a model's weights; the highest wins. */
    record NameWeights(String model, int version) implements PublicationCommand {}

    /**
     * Records what a target said.
     *
     * @param sighting what it said, not null
     * @param evidence what is known of its start beside that; earlier versions stored none
     */
    record RecordTarget(TargetSighting sighting, Evidence evidence) implements PublicationCommand {
        /** Takes what an earlier version stored as it came. */
        public RecordTarget {
            evidence = evidence == null ? Evidence.ARRIVAL : evidence;
        }
    }

    /**
     * Takes a start of a target off the list, and its former starts with it.
     *
     * @param id its incarnation, not null
     * @param name what it calls itself; null for an incarnation that is its name
     * @param bornMillis when it started, 0 if that is not known
     * @param byItself true if the target said so itself
     */
    record RemoveTarget(String id, String name, long bornMillis, boolean byItself) implements PublicationCommand {
        /** Takes what names no target for an incarnation that is its name. */
        public RemoveTarget {
            name = name == null ? id : name;
        }

        /** Returns the removal of an incarnation that is listed, or that is its name. */
        public RemoveTarget(String id, boolean byItself) {
            this(id, id, 0, byItself);
        }
    }

    /** Records targets that ended with what ran there, and requests that ran to their end since. */
    record RecordOutcomes(List<EndedTarget> ended, List<RequestFingerprint> ranWhole) implements PublicationCommand {
        /** Copies the lists. */
        public RecordOutcomes {
            ended = List.copyOf(ended);
            ranWhole = List.copyOf(ranWhole);
        }
    }

    /** Takes the trial with that number of a condemned request; the first who asks has it. */
    record TakeTrial(RequestFingerprint request, int number, String who) implements PublicationCommand {}

    /** Changes nothing; once it is committed, whoever submitted it knows that it had seen everything before. */
    record Confirm() implements PublicationCommand {}
}

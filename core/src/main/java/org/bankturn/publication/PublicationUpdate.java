package org.bankturn.publication;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectPart;
import org.bankturn.registry.TargetSighting;

/**
 * The difference between a follower's state and the current published state.
 *
 * @param index the log index of the state after the update
 * @param documentVersion the version of the current document, 0 for none
 * @param document the deflated current document, null if the follower holds it
 * @param weights all selected weights, not null
 * @param changed the added or changed targets, not null
 * @param gone the incarnations of removed targets, not null
 * @param suspects the added, changed or cleared suspects, not null
 * @param whole true if {@code changed} and {@code suspects} are complete and replace the follower's
 * @param evacuations the last evacuation order of every data hall that had one; null if sent by an earlier version, which
 *     does not know them
 * @param suspectParts the added, changed or cleared suspect prompt parts, not null
 * @param left those in {@code gone} that were removed at their own request, not null; a removed target may as well
 *     have fallen silent, or another one may have registered its address
 */
public record PublicationUpdate(
        long index,
        long documentVersion,
        byte[] document,
        List<NamedWeights> weights,
        List<TargetSighting> changed,
        List<String> gone,
        List<Suspect> suspects,
        boolean whole,
        List<HallEvacuation> evacuations,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<SuspectPart> suspectParts,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<String> left) {
    /** Treats missing suspects, suspect parts and departures, as sent by earlier versions, as empty lists. */
    public PublicationUpdate {
        suspects = suspects == null ? List.of() : List.copyOf(suspects);
        evacuations = evacuations == null ? null : List.copyOf(evacuations);
        suspectParts = suspectParts == null ? List.of() : List.copyOf(suspectParts);
        left = left == null ? List.of() : List.copyOf(left);
    }
}

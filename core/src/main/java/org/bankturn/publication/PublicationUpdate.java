package org.bankturn.publication;

import java.util.List;
import org.bankturn.crash.Suspect;
import org.bankturn.registry.TargetSighting;

/**
 * The step from what an asker holds to what is published now.
 *
 * @param index the log index that the update leads to
 * @param documentVersion the version of the document in force, 0 for none
 * @param document the deflated document, null if the asker's is the newest
 * @param weights the named weights, all of them
 * @param changed targets that are new or changed, not null
 * @param gone the incarnations of targets that left, not null
 * @param suspects requests under which targets ended, or that were cleared since, not null
 * @param whole true if {@code changed} and {@code suspects} list everything and all else is gone
 */
public record PublicationUpdate(
        long index,
        long documentVersion,
        byte[] document,
        List<NamedWeights> weights,
        List<TargetSighting> changed,
        List<String> gone,
        List<Suspect> suspects,
        boolean whole) {
    /** Takes a sender that knows no suspects for one that has none. */
    public PublicationUpdate {
        suspects = suspects == null ? List.of() : List.copyOf(suspects);
    }
}

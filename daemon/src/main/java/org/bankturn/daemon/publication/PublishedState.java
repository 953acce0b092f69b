package org.bankturn.daemon.publication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectTable;
import org.bankturn.publication.NamedWeights;
import org.bankturn.publication.PublicationUpdate;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.ServingConfiguration;

/**
 * What is published, as far as one process knows.
 *
 * <p>PublishedState is immutable and thread-safe.
 *
 * @param index the log index it leads to, 0 if nothing is known
 * @param configuration the operators' document, null if none is known
 * @param weights the named weights, not null
 * @param targets the targets by incarnation, not null
 * @param suspects the requests under which targets ended, not null
 * @param confirmed true once a control process in touch with a majority has published to this process; before that, what
 *     is shown may be what one of them held when it started, and newer changes may be in force
 */
public record PublishedState(
        long index,
        ServingConfiguration configuration,
        List<NamedWeights> weights,
        Map<String, TargetSighting> targets,
        List<Suspect> suspects,
        boolean confirmed) {
    /** Nothing is known. */
    public static final PublishedState EMPTY = new PublishedState(0, null, List.of(), Map.of(), List.of(), false);

    /** Copies the collections. */
    public PublishedState {
        weights = List.copyOf(weights);
        targets = Map.copyOf(targets);
        suspects = List.copyOf(suspects);
    }

    /** Returns the named weights of a model, empty if none are named. */
    public Optional<NamedWeights> weightsOf(String model) {
        return weights.stream().filter(each -> each.model().equals(model)).findFirst();
    }

    /** Returns the same, confirmed by a control process in touch with a majority. */
    PublishedState confirm() {
        return new PublishedState(index, configuration, weights, targets, suspects, true);
    }

    /**
     * Returns what is published after an update.
     *
     * @param update the update, not null
     * @param newest the document that it brought, or the one held, null if there is none
     */
    PublishedState after(PublicationUpdate update, ServingConfiguration newest) {
        Map<String, TargetSighting> next = update.whole() ? new HashMap<>() : new HashMap<>(targets);
        update.gone().forEach(next::remove);
        update.changed().forEach(each -> next.put(each.id(), each));
        return new PublishedState(update.index(), newest, update.weights(), next, suspectsAfter(update), confirmed);
    }

    private List<Suspect> suspectsAfter(PublicationUpdate update) {
        if (update.whole()) {
            return update.suspects();
        }
        if (update.suspects().isEmpty()) {
            return suspects;
        }
        SuspectTable table = SuspectTable.restore(suspects);
        update.suspects().forEach(table::put);
        return table.content();
    }
}

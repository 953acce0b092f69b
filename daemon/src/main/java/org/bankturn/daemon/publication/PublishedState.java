package org.bankturn.daemon.publication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectPart;
import org.bankturn.crash.SuspectPartTable;
import org.bankturn.crash.SuspectTable;
import org.bankturn.publication.HallEvacuation;
import org.bankturn.publication.NamedWeights;
import org.bankturn.publication.PublicationUpdate;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.ServingConfiguration;

/**
 * The published state as known to one process.
 *
 * <p>PublishedState is immutable and thread-safe.
 *
 * @param index the log index of the state, 0 if no state is known
 * @param configuration the operators' document, null if none is known
 * @param weights the selected weights, not null
 * @param targets the targets by incarnation, not null
 * @param suspects the requests during which targets crashed, not null
 * @param confirmed true after the first reply of a control process with contact to a majority; before that, the state
 *     may be the recovered state of a restarted control process, and newer changes may be committed
 * @param evacuations the last evacuation order of every data hall that had one, not null
 * @param suspectParts the prompt parts of requests during which targets crashed, not null
 * @param left the incarnations that the last update removed at their own request, not null
 */
public record PublishedState(
        long index,
        ServingConfiguration configuration,
        List<NamedWeights> weights,
        Map<String, TargetSighting> targets,
        List<Suspect> suspects,
        boolean confirmed,
        List<HallEvacuation> evacuations,
        List<SuspectPart> suspectParts,
        Set<String> left) {
    /** The state of a process that has not received any update. */
    public static final PublishedState EMPTY = new PublishedState(0, null, List.of(), Map.of(), List.of(), false);

    /** Copies the collections. */
    public PublishedState {
        weights = List.copyOf(weights);
        targets = Map.copyOf(targets);
        suspects = List.copyOf(suspects);
        evacuations = List.copyOf(evacuations);
        suspectParts = List.copyOf(suspectParts);
        left = Set.copyOf(left);
    }

    /** Returns a state whose last update removed no target at its own request. */
    public PublishedState(
            long index,
            ServingConfiguration configuration,
            List<NamedWeights> weights,
            Map<String, TargetSighting> targets,
            List<Suspect> suspects,
            boolean confirmed,
            List<HallEvacuation> evacuations,
            List<SuspectPart> suspectParts) {
        this(index, configuration, weights, targets, suspects, confirmed, evacuations, suspectParts, Set.of());
    }

    /** Returns a state without suspect prompt parts. */
    public PublishedState(
            long index,
            ServingConfiguration configuration,
            List<NamedWeights> weights,
            Map<String, TargetSighting> targets,
            List<Suspect> suspects,
            boolean confirmed,
            List<HallEvacuation> evacuations) {
        this(index, configuration, weights, targets, suspects, confirmed, evacuations, List.of());
    }

    /** Returns a state in which no data hall was ever evacuated. */
    public PublishedState(
            long index,
            ServingConfiguration configuration,
            List<NamedWeights> weights,
            Map<String, TargetSighting> targets,
            List<Suspect> suspects,
            boolean confirmed) {
        this(index, configuration, weights, targets, suspects, confirmed, List.of());
    }

    /** Returns the data halls whose targets get no requests, not null. */
    public Set<String> evacuatedHalls() {
        return evacuations.stream()
                .filter(HallEvacuation::evacuated)
                .map(HallEvacuation::hall)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the selected weights of a model, empty if there are none. */
    public Optional<NamedWeights> weightsOf(String model) {
        return weights.stream().filter(each -> each.model().equals(model)).findFirst();
    }

    /** Returns a confirmed copy of this state. */
    PublishedState confirm() {
        return new PublishedState(index, configuration, weights, targets, suspects, true, evacuations, suspectParts);
    }

    /**
     * Returns the state after an update.
     *
     * @param update the update, not null
     * @param newest the configuration after the update, null if there is none
     */
    PublishedState after(PublicationUpdate update, ServingConfiguration newest) {
        Map<String, TargetSighting> next = update.whole() ? new HashMap<>() : new HashMap<>(targets);
        update.gone().forEach(next::remove);
        update.changed().forEach(each -> next.put(each.id(), each));
        return new PublishedState(
                update.index(),
                newest,
                update.weights(),
                next,
                suspectsAfter(update),
                confirmed,
                update.evacuations() == null ? evacuations : update.evacuations(),
                suspectPartsAfter(update),
                Set.copyOf(update.left()));
    }

    private List<SuspectPart> suspectPartsAfter(PublicationUpdate update) {
        if (update.whole()) {
            return update.suspectParts();
        }
        if (update.suspectParts().isEmpty()) {
            return suspectParts;
        }
        SuspectPartTable table = SuspectPartTable.restore(suspectParts);
        update.suspectParts().forEach(table::put);
        return table.content();
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

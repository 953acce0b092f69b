package org.bankturn.publication;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectPart;
import org.bankturn.crash.SuspectPartTable;
import org.bankturn.registry.TargetRecord;
import org.bankturn.registry.TargetRegistry;
import org.bankturn.registry.TargetRegistry.Departure;
import org.bankturn.registry.TargetSighting;

/**
 * The replicated state of a control group; members that apply the same entries hold the same state.
 *
 * <p>PublicationState is mutable and not thread-safe.
 */
public final class PublicationState {
    private long index;
    private long documentVersion;
    private long documentIndex;
    private byte[] document;
    private final Map<String, NamedWeights> weights = new LinkedHashMap<>();
    private TargetRegistry registry = TargetRegistry.empty();
    private CrashEvidence evidence = CrashEvidence.empty();
    private final Map<String, HallEvacuation> evacuations = new TreeMap<>();

    private record Content(
            long index,
            long documentVersion,
            long documentIndex,
            byte[] document,
            List<NamedWeights> weights,
            TargetRegistry.Content registry,
            List<Suspect> suspects,
            List<HallEvacuation> evacuations,
            @JsonInclude(JsonInclude.Include.NON_EMPTY) List<SuspectPart> suspectParts) {}

    /** Returns an empty state, not null. */
    public static PublicationState empty() {
        return new PublicationState();
    }

    /**
     * Returns the state in a snapshot.
     *
     * @param snapshot the result of {@link #snapshot()}, or an empty array for the empty state, not null
     */
    public static PublicationState restore(byte[] snapshot) {
        PublicationState state = new PublicationState();
        if (snapshot.length == 0) {
            return state;
        }
        Content content = MessagePackCodec.instance().decode(snapshot, Content.class);
        state.index = content.index();
        state.documentVersion = content.documentVersion();
        state.documentIndex = content.documentIndex();
        state.document = content.document();
        content.weights().forEach(each -> state.weights.put(each.model(), each));
        state.registry = TargetRegistry.restore(content.registry());
        // snapshots of earlier versions have no suspects, or no suspect parts
        state.evidence = CrashEvidence.restore(
                content.suspects() == null ? List.of() : content.suspects(),
                content.suspectParts() == null ? List.of() : content.suspectParts());
        // snapshots of earlier versions have no evacuations
        if (content.evacuations() != null) {
            content.evacuations().forEach(each -> state.evacuations.put(each.hall(), each));
        }
        return state;
    }

    private PublicationState() {}

    /** Returns a snapshot of the state, not null. */
    public byte[] snapshot() {
        return MessagePackCodec.instance()
                .encode(new Content(
                        index,
                        documentVersion,
                        documentIndex,
                        document,
                        List.copyOf(weights.values()),
                        registry.content(),
                        evidence.requests().content(),
                        evacuations(),
                        evidence.parts().content()));
    }

    /** Returns the index of the last log entry that changed the state. */
    public long index() {
        return index;
    }

    /** Returns the version of the current document, 0 for none. */
    public long documentVersion() {
        return documentVersion;
    }

    /** Returns the deflated current document, null if there is none. */
    public byte[] document() {
        return document;
    }

    /** Returns the registry of targets, not null. */
    public TargetRegistry registry() {
        return registry;
    }

    /** Returns the requests during which targets crashed, not null. */
    public List<Suspect> suspects() {
        return evidence.requests().content();
    }

    /** Returns the prompt parts of requests during which targets crashed, not null. */
    public SuspectPartTable suspectParts() {
        return evidence.parts();
    }

    /** Returns the selected weights, not null. */
    public List<NamedWeights> weights() {
        return List.copyOf(weights.values());
    }

    /** Returns the last evacuation order of every data hall that had one, not null. */
    public List<HallEvacuation> evacuations() {
        return List.copyOf(evacuations.values());
    }

    /** Returns the last evacuation order of a data hall, empty if there was none, not null. */
    public Optional<HallEvacuation> evacuationOf(String hall) {
        return Optional.ofNullable(evacuations.get(hall));
    }

    /** Returns the index of the last evacuation order of a data hall, 0 if there was none. */
    public long lastOrderIndex(String hall) {
        return evacuationOf(hall).map(HallEvacuation::orderIndex).orElse(0L);
    }

    /** Returns true if applying the command would change the state. */
    public boolean wouldChange(PublicationCommand command) {
        if (command instanceof PublicationCommand.PutDocument put) {
            return put.version() > documentVersion;
        }
        if (command instanceof PublicationCommand.NameWeights named) {
            NamedWeights current = weights.get(named.model());
            return current == null || named.version() > current.version();
        }
        if (command instanceof PublicationCommand.RecordTarget record) {
            return registry.wouldChange(record.sighting(), record.evidence());
        }
        if (command instanceof PublicationCommand.RemoveTarget remove) {
            return registry.find(remove.id()).isPresent() || (remove.byItself() && !registry.hasLeft(remove.id()));
        }
        if (CrashEvidence.concerns(command)) {
            return evidence.wouldChange(command);
        }
        if (command instanceof PublicationCommand.Evacuate order) {
            return takesEffect(order);
        }
        return false;
    }

    /**
     * Returns true if no later order took effect since this one was received, or if the hall is in the wanted state.
     *
     * <p>An order for the current state takes effect, too: its index replaces that of the last order, so that a delayed
     * copy of an order between the two no longer matches.
     */
    private boolean takesEffect(PublicationCommand.Evacuate order) {
        boolean evacuated =
                evacuationOf(order.hall()).map(HallEvacuation::evacuated).orElse(false);
        return order.start() == evacuated || order.lastOrderIndex() == lastOrderIndex(order.hall());
    }

    /**
     * Applies a committed command.
     *
     * @param entryIndex the index of its log entry
     * @param command the command, not null
     * @return true if the command changed the state
     */
    public boolean apply(long entryIndex, PublicationCommand command) {
        if (!wouldChange(command)) {
            return false;
        }
        index = entryIndex;
        if (command instanceof PublicationCommand.PutDocument put) {
            documentVersion = put.version();
            documentIndex = entryIndex;
            document = put.deflated();
        } else if (command instanceof PublicationCommand.NameWeights named) {
            weights.put(named.model(), new NamedWeights(named.model(), named.version(), entryIndex));
        } else if (command instanceof PublicationCommand.RecordTarget record) {
            registry.record(entryIndex, record.sighting(), record.evidence());
        } else if (command instanceof PublicationCommand.RemoveTarget remove) {
            registry.remove(entryIndex, remove.id(), remove.name(), remove.bornMillis(), remove.byItself());
        } else if (CrashEvidence.concerns(command)) {
            evidence.apply(entryIndex, command);
        } else if (command instanceof PublicationCommand.Evacuate order) {
            evacuations.put(order.hall(), new HallEvacuation(order.hall(), order.start(), entryIndex));
        }
        return true;
    }

    /**
     * Returns the update from an older index to this state.
     *
     * @param haveIndex the index of the follower's state, 0 for none
     */
    public PublicationUpdate updateSince(long haveIndex) {
        boolean full = haveIndex <= registry.forgottenUntil() || haveIndex > index;
        List<TargetSighting> changed = registry.all().stream()
                .filter(each -> full || each.changedIndex() > haveIndex)
                .map(TargetRecord::sighting)
                .toList();
        List<Departure> removed = registry.content().departures().stream()
                .filter(each -> !full && each.index() > haveIndex)
                .toList();
        byte[] changedDocument = full || documentIndex > haveIndex ? document : null;
        List<Suspect> changedSuspects =
                full ? evidence.requests().content() : evidence.requests().changedSince(haveIndex);
        List<SuspectPart> changedParts =
                full ? evidence.parts().content() : evidence.parts().changedSince(haveIndex);
        return new PublicationUpdate(
                index,
                documentVersion,
                changedDocument,
                weights(),
                changed,
                removed.stream().map(Departure::id).toList(),
                changedSuspects,
                full,
                evacuations(),
                changedParts,
                removed.stream().filter(Departure::byItself).map(Departure::id).toList());
    }
}

package org.bankturn.publication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectTable;
import org.bankturn.registry.TargetRecord;
import org.bankturn.registry.TargetRegistry;
import org.bankturn.registry.TargetRegistry.Departure;
import org.bankturn.registry.TargetSighting;

/**
 * The state that a control group keeps and publishes; members that apply the same entries hold the same state.
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
    private SuspectTable suspects = SuspectTable.empty();

    private record Content(
            long index,
            long documentVersion,
            long documentIndex,
            byte[] document,
            List<NamedWeights> weights,
            TargetRegistry.Content registry,
            List<Suspect> suspects) {}

    /** Returns a state in which nothing is published, not null. */
    public static PublicationState empty() {
        return new PublicationState();
    }

    /**
     * Returns the state that a snapshot holds.
     *
     * @param snapshot what {@link #snapshot()} gave, or no bytes for the empty state, not null
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
        // a snapshot of an earlier version holds none
        state.suspects = SuspectTable.restore(content.suspects() == null ? List.of() : content.suspects());
        return state;
    }

    private PublicationState() {}

    /** Returns the encoded state, not null. */
    public byte[] snapshot() {
        return MessagePackCodec.instance()
                .encode(new Content(
                        index,
                        documentVersion,
                        documentIndex,
                        document,
                        List.copyOf(weights.values()),
                        registry.content(),
                        suspects.content()));
    }

    /** Returns the last applied index that changed anything. */
    public long index() {
        return index;
    }

    /** Returns the version of the document in force, 0 for none. */
    public long documentVersion() {
        return documentVersion;
    }

    /** Returns the deflated document, null if there is none. */
    public byte[] document() {
        return document;
    }

    /** Returns the targets, not null. */
    public TargetRegistry registry() {
        return registry;
    }

    /** Returns the requests under which targets ended, not null. */
    public List<Suspect> suspects() {
        return suspects.content();
    }

    /** Returns the named weights, not null. */
    public List<NamedWeights> weights() {
        return List.copyOf(weights.values());
    }

    /** Returns true if applying the command would change anything. */
    public boolean wouldChange(PublicationCommand command) {
        if (command instanceof PublicationCommand.PutDocument put) {
            return put.version() > documentVersion;
        }
        if (command instanceof PublicationCommand.NameWeights named) {
            NamedWeights held = weights.get(named.model());
            return held == null || named.version() > held.version();
        }
        if (command instanceof PublicationCommand.RecordTarget record) {
            return registry.wouldChange(record.sighting(), record.evidence());
        }
        if (command instanceof PublicationCommand.RemoveTarget remove) {
            return registry.find(remove.id()).isPresent() || (remove.byItself() && !registry.hasLeft(remove.id()));
        }
        if (command instanceof PublicationCommand.RecordOutcomes runs) {
            return wouldBlameOrClear(runs);
        }
        if (command instanceof PublicationCommand.TakeTrial trial) {
            return suspects.isTrialAvailable(trial.request(), trial.number());
        }
        return false;
    }

    private boolean wouldBlameOrClear(PublicationCommand.RecordOutcomes runs) {
        boolean blames = runs.ended().stream()
                .anyMatch(ended -> ended.underWay().stream()
                        .anyMatch(request -> suspects.wouldRecordCrash(request, ended.target())));
        return blames
                || runs.ranWhole().stream()
                        .anyMatch(request -> !suspects.endedTargetsOf(request).isEmpty());
    }

    private void note(long entryIndex, PublicationCommand.RecordOutcomes runs) {
        for (EndedTarget ended : runs.ended()) {
            ended.underWay().forEach(request -> suspects.recordCrash(entryIndex, request, ended.target()));
        }
        runs.ranWhole().forEach(request -> suspects.clear(entryIndex, request));
    }

    /**
     * Applies a committed command.
     *
     * @param entryIndex its index in the log
     * @param command the command, not null
     */
    public void apply(long entryIndex, PublicationCommand command) {
        if (!wouldChange(command)) {
            return;
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
        } else if (command instanceof PublicationCommand.RecordOutcomes runs) {
            note(entryIndex, runs);
        } else if (command instanceof PublicationCommand.TakeTrial trial) {
            suspects.takeTrial(entryIndex, trial.request(), trial.number(), trial.who());
        }
    }

    /**
     * Returns the step from an older index to this state.
     *
     * @param haveIndex the index that the asker's view leads to, 0 for none
     */
    public PublicationUpdate updateSince(long haveIndex) {
        boolean whole = haveIndex <= registry.forgottenUntil() || haveIndex > index;
        List<TargetSighting> changed = registry.all().stream()
                .filter(each -> whole || each.changedIndex() > haveIndex)
                .map(TargetRecord::sighting)
                .toList();
        List<String> gone = registry.content().departures().stream()
                .filter(each -> !whole && each.index() > haveIndex)
                .map(Departure::id)
                .toList();
        byte[] sent = whole || documentIndex > haveIndex ? document : null;
        List<Suspect> suspected = whole ? suspects.content() : suspects.changedSince(haveIndex);
        return new PublicationUpdate(index, documentVersion, sent, weights(), changed, gone, suspected, whole);
    }
}

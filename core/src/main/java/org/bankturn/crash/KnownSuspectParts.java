package org.bankturn.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bankturn.time.Clock;

/**
 * The suspect prompt parts known to one gateway: those that the control group published, crashes that the gateway observed
 * itself and that are not published yet, and the parts with which it saw requests run to their end.
 *
 * <p>A gateway without contact to the control group goes by its own observations. KnownSuspectParts is mutable and not
 * thread-safe.
 */
public final class KnownSuspectParts {
    /** How long the control group may take to publish a crash; after that its judgement replaces the observation. */
    private static final long PUBLICATION_TIMEOUT_MILLIS = 5_000;

    /** The number of crashes from which on the control group is told that a part ran to its end. */
    private static final int MIN_REPORTED_CRASHES = 2;

    /** The number of unpublished observations that are kept; exceeds five crashes of 64 requests with three parts each. */
    private static final int MAX_OBSERVATIONS = 1_024;

    private final Clock clock;
    private final CompletedParts completed = CompletedParts.empty();
    private final Map<ObservationKey, Observation> observed = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<ObservationKey, Observation> eldest) {
            return size() > MAX_OBSERVATIONS;
        }
    };
    private SuspectPartTable published = SuspectPartTable.empty();
    private SuspectPartTable combined = SuspectPartTable.empty();

    private record ObservationKey(String part, String target) {}

    private record Observation(InterruptedPart interrupted, long atMillis) {}

    /** Returns an instance without suspects, not null. */
    public static KnownSuspectParts empty(Clock clock) {
        return new KnownSuspectParts(clock);
    }

    private KnownSuspectParts(Clock clock) {
        this.clock = clock;
    }

    // ---- queries

    /** Returns true if no crash counts against any part. */
    public boolean isEmpty() {
        return combined.isEmpty();
    }

    /** Returns true if the gateway observed crashes that are not published yet. */
    public boolean hasObservations() {
        return !observed.isEmpty();
    }

    /** Returns the parts whose requests must not be sent to any target, not null. */
    public Set<String> condemned() {
        return combined.condemned();
    }

    /** Returns the targets that crashed during requests with a part, not null. */
    public List<String> endedTargetsOf(String part) {
        return combined.find(part).map(SuspectPart::endedTargets).orElse(List.of());
    }

    /** Returns true if the crashes of further targets could condemn a part that is not known to have run to its end. */
    public boolean couldBeCondemned(String part, Collection<String> furtherTargets) {
        if (furtherTargets.isEmpty() || completed.find(part).isPresent()) {
            return false;
        }
        Set<String> targets = new HashSet<>(endedTargetsOf(part));
        targets.addAll(furtherTargets);
        return targets.size() >= SuspectPart.CONDEMNATION_THRESHOLD;
    }

    /** Returns the published entry for a condemned part, empty if the control group has not condemned it, not null. */
    public Optional<SuspectPart> findPublished(String part) {
        return published.find(part).filter(each -> published.condemned().contains(part));
    }

    /** Returns the completed parts that would change what the control group holds against suspects, not null. */
    public List<CompletedPart> unreportedCompletions() {
        return published.content().stream()
                .filter(each -> each.crashes().size() >= MIN_REPORTED_CRASHES)
                .flatMap(each -> completed.find(each.part()).filter(each::wouldChange).stream())
                .toList();
    }

    /** Returns which of the parts are known to have run to their end, not null. */
    public List<CompletedPart> completionsOf(Collection<InterruptedPart> parts) {
        return parts.stream()
                .flatMap(each -> completed.find(each.part()).stream())
                .toList();
    }

    // ---- updates

    /** Replaces the published parts and drops observations that they include. */
    public void published(List<SuspectPart> parts) {
        published = SuspectPartTable.restore(parts);
        long oldest = clock.millis() - PUBLICATION_TIMEOUT_MILLIS;
        observed.entrySet()
                .removeIf(each -> each.getValue().atMillis() < oldest
                        || isPublished(each.getKey().part(), each.getKey().target()));
        combine();
    }

    private boolean isPublished(String part, String target) {
        return published
                .find(part)
                .map(each -> each.endedTargets().contains(target))
                .orElse(false);
    }

    /** Records that a target crashed while requests with the parts were in flight there. */
    public void recordCrash(String target, Collection<InterruptedPart> parts) {
        for (InterruptedPart each : parts) {
            if (!isPublished(each.part(), target)) {
                observed.put(new ObservationKey(each.part(), target), new Observation(each, clock.millis()));
            }
        }
        combine();
    }

    /**
     * Records that a request with a part ran to its end at this gateway.
     *
     * @param run the completed part, not null
     * @param sentMillis when the request was sent to its target; crashes observed after that are not disproved
     * @return true if that changes what is held against the part
     */
    public boolean recordCompletion(CompletedPart run, long sentMillis) {
        completed.record(run);
        boolean disproved = observed.entrySet()
                .removeIf(each -> each.getKey().part().equals(run.part())
                        && each.getValue().atMillis() <= sentMillis
                        && each.getValue().interrupted().weightsVersion() <= run.weightsVersion());
        boolean changed = disproved || combined.wouldRecordCompletion(run);
        if (changed) {
            combine();
        }
        return changed;
    }

    /** Applies what this gateway knows itself to what is published. */
    private void combine() {
        SuspectPartTable table = SuspectPartTable.restore(published.content());
        Map<String, List<InterruptedPart>> observedByTarget = new LinkedHashMap<>();
        observed.forEach((key, each) -> observedByTarget
                .computeIfAbsent(key.target(), target -> new ArrayList<>())
                .add(each.interrupted()));
        observedByTarget.forEach((target, parts) -> table.recordCrash(Long.MAX_VALUE, parts, target));
        table.content()
                .forEach(each ->
                        completed.find(each.part()).ifPresent(run -> table.recordCompletion(each.changedIndex(), run)));
        combined = table;
    }
}

package org.bankturn.crash;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The suspects known to one gateway: those that the control group published, and crashes that the gateway observed
 * itself and that are not published yet. A gateway without contact to the control group uses both.
 *
 * <p>KnownSuspects is mutable and not thread-safe.
 */
public final class KnownSuspects {
    private SuspectTable published = SuspectTable.empty();
    private final SuspectTable observed = SuspectTable.empty();

    /** Returns an instance without suspects, not null. */
    public static KnownSuspects empty() {
        return new KnownSuspects();
    }

    private KnownSuspects() {}

    // ---- queries

    /** Returns true if there are no suspects. */
    public boolean isEmpty() {
        return published.isEmpty() && observed.isEmpty();
    }

    /** Returns the published suspect for a request, empty if there is none, not null. */
    public Optional<Suspect> findPublished(RequestFingerprint request) {
        return published.find(request);
    }

    /** Returns the condemned requests, which must not be sent to any target, not null. */
    public Set<RequestFingerprint> condemned() {
        return Stream.concat(published.content().stream(), observed.content().stream())
                .map(Suspect::fingerprint)
                .filter(this::isCondemned)
                .collect(Collectors.toSet());
    }

    /** Returns the distinct targets that crashed while running a request, not null. */
    public Set<String> endedTargetsOf(RequestFingerprint request) {
        Set<String> targets = new LinkedHashSet<>(published.endedTargetsOf(request));
        targets.addAll(observed.endedTargetsOf(request));
        if (!published.isCondemned(request)) {
            targets.removeIf(published::isAttributed);
        }
        return targets;
    }

    /** Returns true if the request must not be sent to any target. */
    public boolean isCondemned(RequestFingerprint request) {
        return endedTargetsOf(request).size() >= Suspect.CONDEMNATION_THRESHOLD;
    }

    // ---- updates

    /** Replaces the published suspects and drops observations that they include or that were cleared. */
    public void published(List<Suspect> suspects) {
        published = SuspectTable.restore(
                suspects.stream().filter(each -> !each.endedTargets().isEmpty()).toList());
        for (Suspect each : suspects) {
            boolean covers = each.endedTargets().containsAll(observed.endedTargetsOf(each.fingerprint()));
            if (each.endedTargets().isEmpty() || covers) {
                observed.remove(each.fingerprint());
            }
        }
    }

    /** Records that a target crashed while running a request. */
    public void recordCrash(String target, RequestFingerprint request) {
        observed.recordCrash(0, request, target);
    }

    /** Records that a request completed at this gateway. */
    public void recordCompletion(RequestFingerprint request) {
        observed.remove(request);
    }
}

package org.bankturn.crash;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What one gateway holds against requests: what is published, and what it saw itself and the control group has not
 * published yet. A gateway that is cut off from the control group goes by both.
 *
 * <p>KnownSuspects is mutable and not thread-safe.
 */
public final class KnownSuspects {
    private SuspectTable published = SuspectTable.empty();
    private final SuspectTable seenHere = SuspectTable.empty();

    /** Returns one that holds nothing against any request, not null. */
    public static KnownSuspects empty() {
        return new KnownSuspects();
    }

    private KnownSuspects() {}

    // ---- queries

    /** Returns true if nothing is held against any request, so that none need be looked up. */
    public boolean isEmpty() {
        return published.isEmpty() && seenHere.isEmpty();
    }

    /** Returns what the control group holds against a request, empty if nothing, not null. */
    public Optional<Suspect> findPublished(RequestFingerprint request) {
        return published.find(request);
    }

    /** Returns the requests that must be sent to no target any more, not null. */
    public Set<RequestFingerprint> condemned() {
        return Stream.concat(published.content().stream(), seenHere.content().stream())
                .map(Suspect::fingerprint)
                .filter(this::isCondemned)
                .collect(Collectors.toSet());
    }

    /** Returns the targets known to have ended under a request, each once, not null. */
    public Set<String> endedTargetsOf(RequestFingerprint request) {
        Set<String> ended = new LinkedHashSet<>(published.endedTargetsOf(request));
        ended.addAll(seenHere.endedTargetsOf(request));
        return ended;
    }

    /** Returns true if the request must be sent to no target any more. */
    public boolean isCondemned(RequestFingerprint request) {
        return endedTargetsOf(request).size() >= Suspect.CONDEMNATION_THRESHOLD;
    }

    // ---- what is learned

    /** Takes in all that is published; what was cleared there is cleared here. */
    public void published(List<Suspect> suspects) {
        published = SuspectTable.restore(
                suspects.stream().filter(each -> !each.endedTargets().isEmpty()).toList());
        for (Suspect each : suspects) {
            boolean covers = each.endedTargets().containsAll(seenHere.endedTargetsOf(each.fingerprint()));
            if (each.endedTargets().isEmpty() || covers) {
                seenHere.remove(each.fingerprint());
            }
        }
    }

    /** A target ended while the request ran there. */
    public void recordCrash(String target, RequestFingerprint request) {
        seenHere.recordCrash(0, request, target);
    }

    /** The request ran to its end here. */
    public void recordCompletion(RequestFingerprint request) {
        seenHere.remove(request);
    }
}

package org.bankturn.crash;

import java.util.ArrayList;
import java.util.List;

/**
 * The crash of a target while it ran requests with a prompt part.
 *
 * @param target the incarnation that crashed, not null
 * @param requests some of the requests with the part that were in flight there, not null
 * @param weightsVersion the version of the weights that the target held, -1 if it needs none
 * @param knownIndex the index of the published state that a gateway knew when it sent the last of the requests, -1 if the
 *     crash is not published
 * @param index the index of the log entry that recorded the crash, {@link Long#MAX_VALUE} if it is not published
 */
public record PartCrash(
        String target, List<RequestFingerprint> requests, int weightsVersion, long knownIndex, long index) {
    /** Enough to recognise a request that was in flight at several crashed targets. */
    static final int MAX_REQUESTS = 4;

    /** Copies the first requests. */
    public PartCrash {
        requests = List.copyOf(requests.subList(0, Math.min(MAX_REQUESTS, requests.size())));
    }

    /** Returns true if a request that completed shows that the part did not cause this crash. */
    boolean isDisprovedBy(CompletedPart completed) {
        return completed.knownIndex() >= index && completed.weightsVersion() >= weightsVersion;
    }

    /** Returns this crash with the requests that another gateway had in flight at the target, not null. */
    PartCrash merge(PartCrash other) {
        List<RequestFingerprint> all = new ArrayList<>(requests);
        other.requests.stream().filter(each -> !all.contains(each)).forEach(all::add);
        return new PartCrash(
                target,
                all,
                Math.max(weightsVersion, other.weightsVersion),
                Math.max(knownIndex, other.knownIndex),
                Math.min(index, other.index));
    }
}

package org.bankturn.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A request that was in flight at a target when its connection was lost.
 *
 * @param fingerprint identifies repetitions of the request, not null
 * @param promptParts the ids of the prompt's parts that other requests may have, too, in order, not null
 * @param weightsVersion the version of the weights that the target held, -1 if it needs none
 * @param knownIndex the index of the published state that the gateway knew when it sent the request
 */
public record InterruptedRequest(
        RequestFingerprint fingerprint, List<String> promptParts, int weightsVersion, long knownIndex) {
    /** Copies the ids. */
    public InterruptedRequest {
        promptParts = List.copyOf(promptParts);
    }

    /** Returns the prompt parts of requests that were in flight at the same target, each once, not null. */
    public static List<InterruptedPart> partsOf(Collection<InterruptedRequest> requests) {
        Map<String, InterruptedPart> parts = new LinkedHashMap<>();
        for (InterruptedRequest request : requests) {
            for (int depth = 0; depth < request.promptParts.size(); depth++) {
                parts.merge(request.promptParts.get(depth), request.part(depth), InterruptedRequest::merge);
            }
        }
        return List.copyOf(parts.values());
    }

    private InterruptedPart part(int depth) {
        return new InterruptedPart(promptParts.get(depth), depth, List.of(fingerprint), weightsVersion, knownIndex);
    }

    private static InterruptedPart merge(InterruptedPart one, InterruptedPart other) {
        List<RequestFingerprint> requests = new ArrayList<>(one.requests());
        requests.addAll(other.requests());
        return new InterruptedPart(
                one.part(),
                Math.max(one.depth(), other.depth()),
                requests.subList(0, Math.min(PartCrash.MAX_REQUESTS, requests.size())),
                Math.max(one.weightsVersion(), other.weightsVersion()),
                Math.max(one.knownIndex(), other.knownIndex()));
    }
}

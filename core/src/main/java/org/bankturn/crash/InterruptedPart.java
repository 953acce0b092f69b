package org.bankturn.crash;

import java.util.List;

/**
 * A prompt part of requests that one gateway had in flight at a target as it crashed.
 *
 * @param part the id of the part, not null
 * @param depth the position of the part in its prompt, 0 for the first
 * @param requests some of the requests, not null
 * @param weightsVersion the version of the weights that the target held, -1 if it needs none
 * @param knownIndex the index of the published state that the gateway knew when it sent the last of the requests
 */
public record InterruptedPart(
        String part, int depth, List<RequestFingerprint> requests, int weightsVersion, long knownIndex) {
    /** Copies the requests. */
    public InterruptedPart {
        requests = List.copyOf(requests);
    }
}

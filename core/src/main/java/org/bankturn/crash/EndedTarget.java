package org.bankturn.crash;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Collection;
import java.util.List;

/**
 * A target that crashed, with the requests of one gateway that were in flight there. One of them, or one of the parts of
 * their prompts, may be the cause.
 *
 * @param target the incarnation, not null
 * @param underWay the requests in flight, not null
 * @param parts the prompt parts of these requests; commands of earlier versions have none
 */
public record EndedTarget(
        String target,
        List<RequestFingerprint> underWay,
        // omitted when empty, so that targets without prompt parts are stored as in earlier builds
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<InterruptedPart> parts) {
    /** Copies the lists. */
    public EndedTarget {
        underWay = List.copyOf(underWay);
        parts = parts == null ? List.of() : List.copyOf(parts);
    }

    /** Returns a crashed target with the requests that its crash interrupted, not null. */
    public static EndedTarget of(String target, Collection<InterruptedRequest> interrupted) {
        return new EndedTarget(
                target,
                interrupted.stream().map(InterruptedRequest::fingerprint).toList(),
                InterruptedRequest.partsOf(interrupted));
    }
}

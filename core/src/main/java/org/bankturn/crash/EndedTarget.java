package org.bankturn.crash;

import java.util.List;

/**
 * A target that crashed, with the requests of one gateway that were in flight there. One of them may be the cause.
 *
 * @param target the incarnation, not null
 * @param underWay the requests in flight, not null
 */
public record EndedTarget(String target, List<RequestFingerprint> underWay) {
    /** Copies the requests. */
    public EndedTarget {
        underWay = List.copyOf(underWay);
    }
}

package org.bankturn.crash;

import java.util.List;

/**
 * A target that ended, and the requests of one gateway that broke off there as it did. One of them may be to blame.
 *
 * @param target its incarnation, not null
 * @param underWay the requests, not null
 */
public record EndedTarget(String target, List<RequestFingerprint> underWay) {
    /** Copies the requests. */
    public EndedTarget {
        underWay = List.copyOf(underWay);
    }
}

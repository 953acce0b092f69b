package org.bankturn.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What starts of targets asked for that are not listed now, in case they are listed again.
 *
 * <p>A target that cannot reach the control group for a while is dropped from the list and comes back as it was.
 * RememberedTerms is mutable and not thread-safe.
 */
final class FlowControlCache {
    private static final int MAX_ENTRIES = 1_024;

    private final Map<String, TargetFlowControl> byIncarnation = new LinkedHashMap<>();

    /** Remembers the terms of a start that is no longer listed, if it asked for anything; the oldest are forgotten. */
    void put(String incarnation, TargetFlowControl flowControl) {
        if (!flowControl.hasConstraints()) {
            return;
        }
        byIncarnation.put(incarnation, flowControl);
        if (byIncarnation.size() > MAX_ENTRIES) {
            byIncarnation.remove(byIncarnation.keySet().iterator().next());
        }
    }

    /** Returns the terms of a start that is listed, new ones if none are remembered, not null. */
    TargetFlowControl remove(String incarnation) {
        TargetFlowControl remembered = byIncarnation.remove(incarnation);
        return remembered == null ? new TargetFlowControl() : remembered;
    }
}

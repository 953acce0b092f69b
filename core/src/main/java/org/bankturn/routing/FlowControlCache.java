package org.bankturn.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Flow control state of target incarnations that are currently not listed.
 *
 * <p>A target that loses contact with the control group is removed from the list and may be listed again.
 * FlowControlCache is mutable and not thread-safe.
 */
final class FlowControlCache {
    private static final int MAX_ENTRIES = 1_024;

    private final SlowStarts slowStarts;
    private final Map<String, TargetFlowControl> byIncarnation = new LinkedHashMap<>();

    FlowControlCache(SlowStarts slowStarts) {
        this.slowStarts = slowStarts;
    }

    /** Stores the state of an unlisted incarnation if it has constraints; evicts the oldest entries. */
    void put(String incarnation, TargetFlowControl flowControl) {
        if (!flowControl.hasConstraints()) {
            return;
        }
        byIncarnation.put(incarnation, flowControl);
        if (byIncarnation.size() > MAX_ENTRIES) {
            byIncarnation.remove(byIncarnation.keySet().iterator().next());
        }
    }

    /** Removes and returns the state of an incarnation, a new one if there is none, not null. */
    TargetFlowControl remove(String incarnation) {
        TargetFlowControl remembered = byIncarnation.remove(incarnation);
        return remembered == null ? new TargetFlowControl(new ColdTarget(slowStarts)) : remembered;
    }
}

package org.bankturn.registry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The cold times in the last heartbeats of targets, kept by each member of a control group that receives them.
 *
 * <p>The registry does not record the countdown of a cold time. A target that becomes cold again may therefore report less
 * than what is recorded, or just as much. Such a rise shows only beside the heartbeat before it; it is recorded with a time
 * above the recorded one, which overestimates it. The first heartbeat of a cold target that a member receives may be a
 * rise, too, and counts as one if the target is registered.
 *
 * <p>ColdTimes is mutable and not thread-safe.
 */
public final class ColdTimes {
    private static final int MAX_TARGETS = 1_024;

    private final Map<String, Reported> last = new LinkedHashMap<>();

    private record Reported(long sequence, long coldMillis) {}

    /** Returns a table without heartbeats, not null. */
    public static ColdTimes empty() {
        return new ColdTimes();
    }

    private ColdTimes() {}

    /**
     * Takes note of a heartbeat and returns it as it should be recorded, not null.
     *
     * @param heartbeat the heartbeat, not null
     * @param registered the registration of the same incarnation, null if there is none
     */
    public TargetSighting toRecord(TargetSighting heartbeat, TargetSighting registered) {
        Reported before = last.get(heartbeat.id());
        if (before != null && before.sequence() >= heartbeat.sequence()) {
            return heartbeat;
        }
        last.remove(heartbeat.id());
        last.put(heartbeat.id(), new Reported(heartbeat.sequence(), heartbeat.coldMillis()));
        if (last.size() > MAX_TARGETS) {
            last.remove(last.keySet().iterator().next());
        }
        boolean rises = heartbeat.coldMillis() > (before == null ? 0 : before.coldMillis());
        boolean hidden = registered != null
                && registered.sequence() < heartbeat.sequence()
                && heartbeat.coldMillis() <= registered.coldMillis();
        return rises && hidden ? heartbeat.withColdMillis(registered.coldMillis() + 1) : heartbeat;
    }

    /** Forgets a heartbeat that could not be recorded, so that the next one may be a rise. */
    public void forget(String id) {
        last.remove(id);
    }
}

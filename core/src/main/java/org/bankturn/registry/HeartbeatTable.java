package org.bankturn.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.time.Clock;

/**
 * The times of the last heartbeats of targets, kept by the leader of a control group.
 *
 * <p>The table is not replicated. A new leader starts with an empty one and restarts the timeout of every target.
 * HeartbeatTable is mutable and not thread-safe.
 */
public final class HeartbeatTable {
    private final Clock clock;
    private final long timeoutMillis;
    private final Map<String, Long> heardMillis = new HashMap<>();

    /**
     * Returns an empty table.
     *
     * @param clock the clock, not null
     * @param timeoutMillis the time after which a target without heartbeats is reported as silent
     */
    public static HeartbeatTable of(Clock clock, long timeoutMillis) {
        return new HeartbeatTable(clock, timeoutMillis);
    }

    private HeartbeatTable(Clock clock, long timeoutMillis) {
        this.clock = clock;
        this.timeoutMillis = timeoutMillis;
    }

    /** Clears the table; called when this member becomes leader. */
    public void restart() {
        heardMillis.clear();
    }

    /** Records a heartbeat of each target at the current time. */
    public void record(Collection<String> targets) {
        long now = clock.millis();
        targets.forEach(target -> heardMillis.put(target, now));
    }

    /**
     * Returns the targets whose timeout has expired, and restarts their timeouts.
     *
     * @param listed the registered targets; all others are removed from the table, not null
     */
    public List<String> findSilent(Collection<String> listed) {
        long now = clock.millis();
        heardMillis.keySet().retainAll(listed);
        List<String> silent = new ArrayList<>();
        for (String target : listed) {
            long last = heardMillis.computeIfAbsent(target, key -> now);
            if (now - last > timeoutMillis) {
                silent.add(target);
                heardMillis.remove(target);
            }
        }
        return silent;
    }
}

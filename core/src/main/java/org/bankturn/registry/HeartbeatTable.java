package org.bankturn.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.time.Clock;

/**
 * When targets were last heard from, as the leader of a control group knows it.
 *
 * <p>It is not agreed on: a new leader starts with an empty table and gives every target the whole time again.
 * HeartbeatTable is mutable and not thread-safe.
 */
public final class HeartbeatTable {
    private final Clock clock;
    private final long silenceMillis;
    private final Map<String, Long> heardMillis = new HashMap<>();

    /**
     * Returns an empty table.
     *
     * @param clock the time, not null
     * @param silenceMillis how long a target may say nothing
     */
    public static HeartbeatTable of(Clock clock, long silenceMillis) {
        return new HeartbeatTable(clock, silenceMillis);
    }

    private HeartbeatTable(Clock clock, long silenceMillis) {
        this.clock = clock;
        this.silenceMillis = silenceMillis;
    }

    /** Forgets everything, as a member does that begins to lead. */
    public void restart() {
        heardMillis.clear();
    }

    /** Notes that targets were heard from just now. */
    public void record(Collection<String> targets) {
        long now = clock.millis();
        targets.forEach(target -> heardMillis.put(target, now));
    }

    /**
     * Returns the targets that have been silent for too long, each once.
     *
     * @param listed the targets that are listed; others are forgotten, not null
     */
    public List<String> findSilent(Collection<String> listed) {
        long now = clock.millis();
        heardMillis.keySet().retainAll(listed);
        List<String> silent = new ArrayList<>();
        for (String target : listed) {
            long last = heardMillis.computeIfAbsent(target, key -> now);
            if (now - last > silenceMillis) {
                silent.add(target);
                heardMillis.remove(target);
            }
        }
        return silent;
    }
}

package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Schedules the load polls of a gateway.
 *
 * <p>Each watched engine is polled at an interval, local ones more often, and all of them less often while the gateway
 * is idle, as old load reports are of no use to a gateway that sends nothing. The most overdue engine comes first, and
 * polls are spread over the interval so that responses do not arrive in bursts.
 *
 * <p>LoadPollSchedule is mutable and not thread-safe.
 */
public final class LoadPollSchedule {
    /** The time without requests after which a gateway counts as idle. */
    private static final long IDLE_AFTER_MILLIS = 1_000;

    /** The factor by which poll intervals grow while the gateway is idle. */
    private static final long IDLE_FACTOR = 4;

    private final PlacementSettings settings;
    private final Map<String, Long> dueMillis = new HashMap<>();
    private final Map<String, Boolean> local = new HashMap<>();
    private long lastRequestMillis = Long.MIN_VALUE / 2;

    /** Returns a schedule without engines, not null. */
    public static LoadPollSchedule of(PlacementSettings settings) {
        return new LoadPollSchedule(settings);
    }

    private LoadPollSchedule(PlacementSettings settings) {
        this.settings = settings;
    }

    /**
     * Sets the watched engines.
     *
     * @param localEngines those of the own data hall, not null
     * @param remoteEngines those of other data halls, not null
     * @param nowMillis the current time
     */
    public void setWatched(Set<String> localEngines, Set<String> remoteEngines, long nowMillis) {
        local.clear();
        localEngines.forEach(id -> local.put(id, true));
        remoteEngines.forEach(id -> local.put(id, false));
        dueMillis.keySet().retainAll(local.keySet());
        local.keySet().forEach(id -> dueMillis.putIfAbsent(id, nowMillis));
    }

    /** Records that the gateway sent a request. */
    public void requestSent(long nowMillis) {
        boolean wasIdle = nowMillis - lastRequestMillis > IDLE_AFTER_MILLIS;
        lastRequestMillis = nowMillis;
        if (wasIdle) {
            dueMillis.replaceAll((id, due) -> Math.min(due, nowMillis + pollIntervalMillis(id, nowMillis)));
        }
    }

    /** Returns the engine to poll now and schedules its next poll; empty if none is due. */
    public Optional<String> next(long nowMillis) {
        return dueMillis.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .min(Map.Entry.comparingByValue())
                .map(entry -> {
                    entry.setValue(nowMillis + pollIntervalMillis(entry.getKey(), nowMillis));
                    return entry.getKey();
                });
    }

    /** Returns the time until the next poll, 0 if one is due, the longest interval if no engine is watched. */
    public long nextPollDelayMillis(long nowMillis) {
        long next = dueMillis.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(nowMillis + settings.remotePollIntervalMillis());
        return Math.max(0, next - nowMillis);
    }

    private long pollIntervalMillis(String id, long nowMillis) {
        long interval = local.get(id) ? settings.localPollIntervalMillis() : settings.remotePollIntervalMillis();
        boolean idle = nowMillis - lastRequestMillis > IDLE_AFTER_MILLIS;
        return idle ? interval * IDLE_FACTOR : interval;
    }
}

package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which engine a gateway asks next for its load, and when.
 *
 * <p>Load pattern: gateways that are idle, and gateways that choose among engines several times a second. Each engine that
 * is watched is asked again after a pause, the own data hall's more often, and more rarely while no requests come: old news
 * of an engine is of no use to a gateway that sends nothing. The engine whose news is the most overdue comes first, and
 * questions are spread over the pause, so that a gateway never wakes for a crowd of answers.
 *
 * <p>LoadQuestions is mutable and not thread-safe.
 */
public final class LoadPollSchedule {
    /** A gateway that sent nothing for so long is idle. */
    private static final long IDLE_AFTER_MILLIS = 1_000;

    /** Engines are asked that much more rarely by an idle gateway; a first request then meets news of a second. */
    private static final long IDLE_FACTOR = 4;

    private final PlacementSettings settings;
    private final Map<String, Long> dueMillis = new HashMap<>();
    private final Map<String, Boolean> local = new HashMap<>();
    private long lastRequestMillis = Long.MIN_VALUE / 2;

    /** Returns questions for a gateway that watches nothing yet, not null. */
    public static LoadPollSchedule of(PlacementSettings settings) {
        return new LoadPollSchedule(settings);
    }

    private LoadPollSchedule(PlacementSettings settings) {
        this.settings = settings;
    }

    /**
     * Takes in which engines are watched.
     *
     * @param localEngines those of the own data hall, not null
     * @param remoteEngines the others, not null
     * @param nowMillis the time
     */
    public void setWatched(Set<String> localEngines, Set<String> remoteEngines, long nowMillis) {
        local.clear();
        localEngines.forEach(id -> local.put(id, true));
        remoteEngines.forEach(id -> local.put(id, false));
        dueMillis.keySet().retainAll(local.keySet());
        local.keySet().forEach(id -> dueMillis.putIfAbsent(id, nowMillis));
    }

    /** The gateway sent a request to an engine. */
    public void requestSent(long nowMillis) {
        boolean wasIdle = nowMillis - lastRequestMillis > IDLE_AFTER_MILLIS;
        lastRequestMillis = nowMillis;
        if (wasIdle) {
            dueMillis.replaceAll((id, due) -> Math.min(due, nowMillis + pollIntervalMillis(id, nowMillis)));
        }
    }

    /** Returns the engine to ask now, which is then not due until its pause is over, empty if none is due. */
    public Optional<String> next(long nowMillis) {
        return dueMillis.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .min(Map.Entry.comparingByValue())
                .map(entry -> {
                    entry.setValue(nowMillis + pollIntervalMillis(entry.getKey(), nowMillis));
                    return entry.getKey();
                });
    }

    /** Returns how long until an engine is due, 0 if one is, and the longest pause if none is watched. */
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

package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * The times at which data was last received, by the time when the connection was opened.
 *
 * <p>Data on a connection says nothing about connections opened earlier, which may have become silent. ReceiveTimes is
 * mutable and not thread-safe.
 */
final class ReceiveTimes {
    /** The number of entries above which outdated ones are removed; exceeds the connections in use at a time. */
    private static final int MAX_ENTRIES = 256;

    private final long retentionMillis;
    private final Map<Long, Long> receivedByOpenTime = new HashMap<>();

    /** Returns an empty object that retains entries for the given time, not null. */
    static ReceiveTimes retaining(long millis) {
        return new ReceiveTimes(millis);
    }

    private ReceiveTimes(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** Returns true if data was recently received on a connection that was open at the given time. */
    boolean anyOnConnectionOpenAt(long openAtMillis, long nowMillis) {
        return receivedByOpenTime.entrySet().stream()
                .anyMatch(entry -> entry.getKey() <= openAtMillis && isRecent(entry.getValue(), nowMillis));
    }

    /** Records data on a connection that was opened at the given time. */
    void record(long openedMillis, long nowMillis) {
        receivedByOpenTime.put(openedMillis, nowMillis);
        if (receivedByOpenTime.size() > MAX_ENTRIES) {
            receivedByOpenTime.values().removeIf(received -> !isRecent(received, nowMillis));
        }
    }

    private boolean isRecent(long receivedMillis, long nowMillis) {
        return nowMillis - receivedMillis < retentionMillis;
    }
}

package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * When something last came on connections, by when they were opened.
 *
 * <p>What comes on a connection tells nothing of those that were opened before it and may have gone silent. WordsByOpening is
 * mutable and not thread-safe.
 */
final class ReceiveTimes {
    /** Connections remembered before the oldest words are forgotten: more than a process has in use at a moment. */
    private static final int MAX_ENTRIES = 256;

    private final long retentionMillis;
    private final Map<Long, Long> receivedByOpenTime = new HashMap<>();

    /** Returns words of which none is known, not null; each is remembered for as long as given. */
    static ReceiveTimes retaining(long millis) {
        return new ReceiveTimes(millis);
    }

    private ReceiveTimes(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /** Returns true if something came of late on a connection that was open at a moment. */
    boolean anyOnConnectionOpenAt(long openAtMillis, long nowMillis) {
        return receivedByOpenTime.entrySet().stream()
                .anyMatch(entry -> entry.getKey() <= openAtMillis && isRecent(entry.getValue(), nowMillis));
    }

    /** Something came on a connection that was opened at a moment. */
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

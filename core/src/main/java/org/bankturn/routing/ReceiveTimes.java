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
    private static final int MOST_REMEMBERED = 256;

    private final long rememberedMillis;
    private final Map<Long, Long> heardByOpening = new HashMap<>();

    /** Returns words of which none is known, not null; each is remembered for as long as given. */
    static ReceiveTimes retaining(long millis) {
        return new ReceiveTimes(millis);
    }

    private ReceiveTimes(long rememberedMillis) {
        this.rememberedMillis = rememberedMillis;
    }

    /** Returns true if something came of late on a connection that was open at a moment. */
    boolean anyOnConnectionOpenAt(long openAtMillis, long nowMillis) {
        return heardByOpening.entrySet().stream()
                .anyMatch(word -> word.getKey() <= openAtMillis && isRemembered(word.getValue(), nowMillis));
    }

    /** Something came on a connection that was opened at a moment. */
    void record(long openedMillis, long nowMillis) {
        heardByOpening.put(openedMillis, nowMillis);
        if (heardByOpening.size() > MOST_REMEMBERED) {
            heardByOpening.values().removeIf(heard -> !isRemembered(heard, nowMillis));
        }
    }

    private boolean isRemembered(long heardMillis, long nowMillis) {
        return nowMillis - heardMillis < rememberedMillis;
    }
}

package org.bankturn.ledger;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The attempts that a target process has seen of late, so that a doubled message is not run twice.
 *
 * <p>RecentAttempts is thread-safe: its methods exclude each other.
 */
public final class RecentAttempts {
    private static final int REMEMBERED = 20_000;

    private final Map<String, Boolean> seen = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED;
        }
    };

    /** Creates a memory without attempts. */
    public RecentAttempts() {}

    /**
     * Takes in an attempt.
     *
     * @param attempt the attempt's unique name, not null
     * @return true if it was not seen before
     */
    public synchronized boolean addIfAbsent(String attempt) {
        return seen.putIfAbsent(attempt, Boolean.TRUE) == null;
    }
}

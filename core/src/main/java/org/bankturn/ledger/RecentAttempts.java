package org.bankturn.ledger;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The most recent attempts seen by a target process, used to discard duplicate messages.
 *
 * <p>RecentAttempts is thread-safe.
 */
public final class RecentAttempts {
    private static final int CAPACITY = 20_000;

    private final Map<String, Boolean> attempts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CAPACITY;
        }
    };

    /** Creates an empty set. */
    public RecentAttempts() {}

    /**
     * Adds an attempt.
     *
     * @param attempt the unique ID of the attempt, not null
     * @return true if the attempt was not present
     */
    public synchronized boolean addIfAbsent(String attempt) {
        return attempts.putIfAbsent(attempt, Boolean.TRUE) == null;
    }
}

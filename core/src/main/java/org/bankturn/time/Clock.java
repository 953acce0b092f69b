package org.bankturn.time;

/**
 * A source of the current time in milliseconds.
 *
 * <p>Every coordination part takes a clock instead of reading the system's, so that tests and embedding programs
 * decide how time passes. Readings of one clock never go backwards.
 */
@FunctionalInterface
public interface Clock {
    /**
     * Returns a clock that advances with the machine's monotonic timer and starts at the wall-clock time.
     *
     * @return a thread-safe clock, not null
     */
    static Clock system() {
        return SystemClock.create();
    }

    /**
     * Returns the current time.
     *
     * @return milliseconds since 1970-01-01T00:00Z, never less than an earlier reading
     */
    long millis();
}

package org.bankturn.time;

/**
 * A source of the current time in milliseconds.
 *
 * <p>Components take a clock instead of reading the system time, so that tests and embedding applications control the
 * passage of time. Successive readings of a clock never decrease.
 */
@FunctionalInterface
public interface Clock {
    /**
     * Returns a clock that starts at the current wall-clock time and advances with the monotonic system timer.
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

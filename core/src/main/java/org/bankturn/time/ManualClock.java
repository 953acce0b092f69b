package org.bankturn.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that advances only when {@link #advance} is called.
 *
 * <p>It is used in tests and in simulations that run faster than real time.
 *
 * <p>ManualClock is thread-safe and mutable.
 */
public final class ManualClock implements Clock {
    private final AtomicLong millis;

    /**
     * Creates a clock.
     *
     * @param millis the initial time in milliseconds
     * @return a clock, not null
     */
    public static ManualClock startingAt(long millis) {
        return new ManualClock(millis);
    }

    private ManualClock(long millis) {
        this.millis = new AtomicLong(millis);
    }

    @Override
    public long millis() {
        return millis.get();
    }

    /**
     * Advances the clock.
     *
     * @param stepMillis the number of milliseconds to add, not negative
     */
    public void advance(long stepMillis) {
        if (stepMillis < 0) {
            throw new IllegalArgumentException("step must not be negative: " + stepMillis);
        }
        millis.addAndGet(stepMillis);
    }

    @Override
    public String toString() {
        return "ManualClock[" + millis() + "]";
    }
}

package org.bankturn.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that moves only when told to.
 *
 * <p>Use it to drive a coordination part step by step, in tests or in a planner run faster than real time.
 *
 * <p>ManualClock is thread-safe and mutable.
 */
public final class ManualClock implements Clock {
    private final AtomicLong millis;

    /**
     * Creates a clock.
     *
     * @param millis the first reading in milliseconds
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
     * Moves the clock forward.
     *
     * @param step milliseconds to add, zero or more
     */
    public void advance(long step) {
        if (step < 0) {
            throw new IllegalArgumentException("step must not be negative: " + step);
        }
        millis.addAndGet(step);
    }

    @Override
    public String toString() {
        return "ManualClock[" + millis() + "]";
    }
}

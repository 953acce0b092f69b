package org.bankturn.time;

/**
 * A clock that reads the wall clock once and the monotonic timer afterwards.
 *
 * <p>Adjustments of the wall clock do not affect leases or timeouts.
 *
 * <p>SystemClock is thread-safe and immutable.
 */
final class SystemClock implements Clock {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long startMillis;
    private final long startNanos;

    static SystemClock create() {
        return new SystemClock(System.currentTimeMillis(), System.nanoTime());
    }

    private SystemClock(long startMillis, long startNanos) {
        this.startMillis = startMillis;
        this.startNanos = startNanos;
    }

    @Override
    public long millis() {
        return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    @Override
    public String toString() {
        return "SystemClock[" + millis() + "]";
    }
}

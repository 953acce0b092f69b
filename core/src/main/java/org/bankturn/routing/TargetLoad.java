package org.bankturn.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What one entry process itself has seen of a target's load: requests in flight and how long they take.
 *
 * <p>The latency is a moving average that rises at once and falls slowly (peak EWMA).
 *
 * <p>TargetLoad is thread-safe; it uses atomics.
 */
public final class TargetLoad {
    private static final long DECAY_DIVISOR = 8;
    private static final long INITIAL_LATENCY_MICROS = 20_000;

    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong latencyMicros = new AtomicLong(INITIAL_LATENCY_MICROS);

    /** Counts a request as begun. */
    public void requestStarted() {
        inFlight.incrementAndGet();
    }

    /** Counts a request as ended. */
    public void requestEnded() {
        inFlight.decrementAndGet();
    }

    /**
     * Takes in how long a first byte took.
     *
     * @param micros the time in microseconds
     */
    public void recordLatency(long micros) {
        latencyMicros.updateAndGet(old -> micros > old ? micros : old - (old - micros) / DECAY_DIVISOR);
    }

    /** Returns the requests of this entry process that are in flight. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Returns the cost of one more request: latency times requests in flight, in microseconds. */
    public long cost() {
        return latencyMicros.get() * (inFlight.get() + 1L);
    }
}

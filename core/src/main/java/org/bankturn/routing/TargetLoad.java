package org.bankturn.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The load of a target as observed by one entry process: requests in flight and latency.
 *
 * <p>The latency is a moving average that rises immediately and decays slowly (peak EWMA).
 *
 * <p>TargetLoad is thread-safe; it uses atomics.
 */
public final class TargetLoad {
    private static final long DECAY_DIVISOR = 8;
    private static final long INITIAL_LATENCY_MICROS = 20_000;

    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong latencyMicros = new AtomicLong(INITIAL_LATENCY_MICROS);

    /** Records the start of a request. */
    public void requestStarted() {
        inFlight.incrementAndGet();
    }

    /** Records the end of a request. */
    public void requestEnded() {
        inFlight.decrementAndGet();
    }

    /**
     * Records a time to first byte.
     *
     * @param micros the latency in microseconds
     */
    public void recordLatency(long micros) {
        latencyMicros.updateAndGet(old -> micros > old ? micros : old - (old - micros) / DECAY_DIVISOR);
    }

    /** Returns the number of requests of this entry process in flight. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Returns the cost of another request: latency times requests in flight, in microseconds. */
    public long cost() {
        return latencyMicros.get() * (inFlight.get() + 1L);
    }
}

package org.bankturn.harness;

import java.util.function.BooleanSupplier;

/** Polls until a condition holds. */
public final class Await {
    private static final long POLL_MILLIS = 5;

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param description describes the condition in the error message, not null
     * @param timeoutMillis the maximum time to wait
     * @param condition the condition, not null
     * @return milliseconds waited
     * @throws IllegalStateException if the condition does not hold in time
     */
    public static long until(String description, long timeoutMillis, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if ((System.nanoTime() - start) / 1_000_000 > timeoutMillis) {
                throw new IllegalStateException("timed out after " + timeoutMillis + " ms: " + description);
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
        return (System.nanoTime() - start) / 1_000_000;
    }
}

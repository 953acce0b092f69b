package org.bankturn.harness;

import java.util.function.BooleanSupplier;

/** Waits for conditions. */
public final class Await {
    private static final long CHECK_MILLIS = 5;

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @param what the condition in words, for the error, not null
     * @param timeoutMillis how long to wait at most
     * @param condition the condition, not null
     * @return milliseconds waited
     * @throws IllegalStateException if it did not come to hold
     */
    public static long until(String what, long timeoutMillis, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if ((System.nanoTime() - start) / 1_000_000 > timeoutMillis) {
                throw new IllegalStateException("not within " + timeoutMillis + " ms: " + what);
            }
            try {
                Thread.sleep(CHECK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(e);
            }
        }
        return (System.nanoTime() - start) / 1_000_000;
    }
}

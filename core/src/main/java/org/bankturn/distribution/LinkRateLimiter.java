package org.bankturn.distribution;

import org.bankturn.time.Clock;

/**
 * Limits the rate of transfers over a link.
 *
 * <p>Call {@link #delayMillis} before each transfer and wait for the returned time. A limit below the link's bandwidth leaves
 * capacity for other traffic on the link.
 *
 * <p>This class is thread-safe.
 */
public final class LinkRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double MAX_QUEUED_TRANSFERS = 1.5;

    private final Clock clock;
    private final double bytesPerMilli;
    private final double burstMillis;
    private double freeAtMillis;

    /**
     * Creates a rate limiter.
     *
     * @param bytesPerSecond the rate, at least 1
     * @param burstMillis the unused time that a later transfer may use
     * @param clock the time source, not null
     * @return the rate limiter, not null
     */
    public static LinkRateLimiter of(long bytesPerSecond, long burstMillis, Clock clock) {
        return new LinkRateLimiter(bytesPerSecond, burstMillis, clock);
    }

    private LinkRateLimiter(long bytesPerSecond, long burstMillis, Clock clock) {
        if (bytesPerSecond < 1) {
            throw new IllegalArgumentException("bytesPerSecond must be positive: " + bytesPerSecond);
        }
        this.bytesPerMilli = bytesPerSecond / MILLIS_PER_SECOND;
        this.burstMillis = burstMillis;
        this.clock = clock;
        this.freeAtMillis = clock.millis();
    }

    /**
     * Reserves capacity for a transfer.
     *
     * @param bytes the size of the transfer
     * @return the milliseconds until the transfer completes at this rate, 0 or more
     */
    public synchronized long delayMillis(long bytes) {
        double now = clock.millis();
        freeAtMillis = Math.max(freeAtMillis, now - burstMillis) + bytes / bytesPerMilli;
        return Math.max(0, Math.round(freeAtMillis - now));
    }

    /**
     * Reserves capacity for a transfer that has just been received, which may have used idle time of the link.
     *
     * @param bytes the size of the transfer
     * @return the milliseconds until the transfer counts as complete at this rate, 0 or more
     */
    public synchronized long arrivalDelayMillis(long bytes) {
        double now = clock.millis();
        double durationMillis = bytes / bytesPerMilli;
        freeAtMillis = Math.max(freeAtMillis, now - durationMillis) + durationMillis;
        return Math.max(0, Math.round(freeAtMillis - now));
    }

    /**
     * Returns true if the queue of the link is too long: a longer one only adds delay.
     *
     * @param bytes the size of one more transfer
     * @return true if more than one and a half transfers of that size are queued
     */
    public synchronized boolean isBusyFor(long bytes) {
        return freeAtMillis - clock.millis() > MAX_QUEUED_TRANSFERS * bytes / bytesPerMilli;
    }
}

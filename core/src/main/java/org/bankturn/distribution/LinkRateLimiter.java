package org.bankturn.distribution;

import org.bankturn.time.Clock;

/**
 * Paces transfers over a link so that they take no more than their share of it.
 *
 * <p>Ask {@link #delayMillis} before each transfer and wait that long. A limit lower than the link's rate leaves room for
 * the regulated traffic that shares it.
 *
 * <p>LinkRateLimiter is thread-safe: its methods exclude each other.
 */
public final class LinkRateLimiter {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double MOST_WAITING = 1.5;

    private final Clock clock;
    private final double bytesPerMilli;
    private final double burstMillis;
    private double freeAtMillis;

    /**
     * Creates a limit.
     *
     * @param bytesPerSecond the rate, from 1
     * @param burstMillis how much unused time may be caught up on
     * @param clock the time, not null
     * @return the limit, not null
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
     * Takes room for a transfer.
     *
     * @param bytes its size
     * @return milliseconds until the transfer would be through at this rate, 0 or more
     */
    public synchronized long delayMillis(long bytes) {
        double now = clock.millis();
        freeAtMillis = Math.max(freeAtMillis, now - burstMillis) + bytes / bytesPerMilli;
        return Math.max(0, Math.round(freeAtMillis - now));
    }

    /**
     * Takes room for a transfer that has just come in, and so was on its way while the link was free.
     *
     * @param bytes its size
     * @return milliseconds until it may count as through at this rate, 0 or more
     */
    public synchronized long arrivalDelayMillis(long bytes) {
        double now = clock.millis();
        double takes = bytes / bytesPerMilli;
        freeAtMillis = Math.max(freeAtMillis, now - takes) + takes;
        return Math.max(0, Math.round(freeAtMillis - now));
    }

    /**
     * Tells whether the link has more waiting than it should: a queue keeps it full, a long one only makes peers wait.
     *
     * @param bytes the size of one more transfer
     * @return true if more than one and a half transfers of that size wait already
     */
    public synchronized boolean isBusyFor(long bytes) {
        return freeAtMillis - clock.millis() > MOST_WAITING * bytes / bytesPerMilli;
    }
}

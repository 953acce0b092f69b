package org.bankturn.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bankturn.time.Clock;

/**
 * Keeps retries to a share of the requests of a sliding window, so that a failure does not multiply the load that caused
 * it.
 *
 * <p>A failure hits many requests at one moment, so all of a window's share may be spent at once; what is spent then is
 * missing until it leaves the window. The budgets of several processes need not know of each other: if each keeps its
 * share of its own requests, all together keep it as well.
 *
 * <p>RetryBudget is thread-safe.
 */
public final class RetryBudget {
    private static final int SLICES = 10;

    private final double share;
    private int allowance;
    private final long sliceMillis;
    private final Clock clock;
    private final Deque<Slice> slices = new ArrayDeque<>();

    /** What happened in a part of the window. */
    private static final class Slice {
        private final long number;
        private int requests;
        private int retries;

        Slice(long number) {
            this.number = number;
        }
    }

    /**
     * Creates a budget.
     *
     * @param share retries per request, above 0, at most 1
     * @param allowance retries on top of that in any window, 0 or more
     * @param windowMillis the length of the window, 10 ms or more
     * @param clock the time, not null
     * @return the budget, not null
     * @throws IllegalArgumentException if a number is out of its range
     */
    public static RetryBudget of(double share, int allowance, long windowMillis, Clock clock) {
        return new RetryBudget(share, allowance, windowMillis, clock);
    }

    private RetryBudget(double share, int allowance, long windowMillis, Clock clock) {
        if (!(share > 0 && share <= 1)) {
            throw new IllegalArgumentException("share must be above 0 and at most 1: " + share);
        }
        if (allowance < 0 || windowMillis < SLICES) {
            throw new IllegalArgumentException("allowance must be 0 or more and the window " + SLICES + " ms or more: "
                    + allowance + ", " + windowMillis);
        }
        this.share = share;
        this.allowance = allowance;
        this.sliceMillis = windowMillis / SLICES;
        this.clock = clock;
    }

    /** Changes what is allowed on top of the share, when processes come or go that have a part of it. */
    public synchronized void allow(int newAllowance) {
        if (newAllowance < 0) {
            throw new IllegalArgumentException("allowance must be 0 or more: " + newAllowance);
        }
        allowance = newAllowance;
    }

    /** Counts a request, which earns a part of a retry. */
    public synchronized void requestSeen() {
        current().requests++;
    }

    /**
     * Takes a retry out of the budget.
     *
     * @return false if there is none left, and the request must be given up on
     */
    public synchronized boolean tryRetry() {
        Slice now = current();
        int requests = 0;
        int retries = 0;
        for (Slice slice : slices) {
            // The oldest slice lies in the window in part only: its retries count, its requests do not.
            requests += slice.number > now.number - SLICES ? slice.requests : 0;
            retries += slice.retries;
        }
        if (retries + 1 > allowance + share * requests) {
            return false;
        }
        now.retries++;
        return true;
    }

    private Slice current() {
        long number = Math.floorDiv(clock.millis(), sliceMillis);
        while (!slices.isEmpty() && slices.peekFirst().number < number - SLICES) {
            slices.removeFirst();
        }
        if (slices.isEmpty() || slices.peekLast().number != number) {
            slices.addLast(new Slice(number));
        }
        return slices.peekLast();
    }

    @Override
    public synchronized String toString() {
        return "RetryBudget[" + share + ", " + allowance + "]";
    }
}

package org.bankturn.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bankturn.time.Clock;

/**
 * Keeps retries to a share of the requests, so that a failure does not multiply the load that caused it.
 *
 * <p>Load pattern: many processes share one limit on the retries of any window, a failure hits many requests at one moment,
 * and processes are killed and start again meanwhile. Requests earn retries as they come, and an allowance earns some with
 * time; what is not spent is kept only up to a bound, and a start has earned nothing. So a process that starts again after
 * it spent its part, and forgot that, cannot spend it twice: over any window, all starts of a process together spend at
 * most what could be kept before it and what was earned within it. Budgets of several processes need not know of each
 * other for that.
 *
 * <p>RetryBudget is thread-safe.
 */
public final class RetryBudget {
    /** What may be kept besides the allowance, as a share of what the requests of a window earn. */
    public static final double CARRY_OVER_SHARE = 0.25;

    /** The part of the allowance that may be kept; the rest is earned with time. */
    private static final double ALLOWANCE_CARRY_OVER = 0.5;

    private static final int SLICES = 10;

    private final double share;
    private int allowance;
    private final long windowMillis;
    private final long sliceMillis;
    private final Clock clock;
    private final Deque<Slice> slices = new ArrayDeque<>();
    private double balance;
    private long updatedMillis;

    /** The requests of a part of the window. */
    private static final class Slice {
        private final long number;
        private int requests;

        Slice(long number) {
            this.number = number;
        }
    }

    /**
     * Creates a budget that has earned nothing yet.
     *
     * @param share retries that a request earns, above 0, at most 1
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
        this.windowMillis = windowMillis;
        this.sliceMillis = windowMillis / SLICES;
        this.clock = clock;
        this.updatedMillis = clock.millis();
    }

    /** Changes what is allowed on top of the share, when processes come that have a part of it. */
    public synchronized void setAllowance(int newAllowance) {
        if (newAllowance < 0) {
            throw new IllegalArgumentException("allowance must be 0 or more: " + newAllowance);
        }
        accrue(0);
        allowance = newAllowance;
    }

    /** Counts a request, which earns a part of a retry. */
    public synchronized void recordRequest() {
        currentSlice().requests++;
        accrue(share);
    }

    /**
     * Takes a retry out of the budget.
     *
     * @return false if there is none left, and the request must be given up on
     */
    public synchronized boolean tryRetry() {
        accrue(0);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }

    /** Adds what came since the last count, up to what may be kept. */
    private void accrue(double amount) {
        long now = clock.millis();
        double accrued = (1 - ALLOWANCE_CARRY_OVER) * allowance * Math.max(0, now - updatedMillis) / windowMillis;
        updatedMillis = now;
        // a part of a retry may always be kept, or the smallest budgets would never have a whole one
        double limit = Math.max(1, ALLOWANCE_CARRY_OVER * allowance + CARRY_OVER_SHARE * share * requestsOfWindow());
        balance = Math.min(limit, balance + accrued + amount);
    }

    /** Returns the requests of the window; the oldest slice lies in it in part only and does not count. */
    private int requestsOfWindow() {
        long oldest = currentSlice().number - SLICES;
        return slices.stream()
                .filter(slice -> slice.number > oldest)
                .mapToInt(slice -> slice.requests)
                .sum();
    }

    private Slice currentSlice() {
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

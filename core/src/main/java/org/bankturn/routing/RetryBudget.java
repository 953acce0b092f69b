package org.bankturn.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bankturn.time.Clock;

/**
 * Limits retries to a share of the requests, so that a failure does not multiply the load that caused it.
 *
 * <p>Load pattern: many processes share a limit on the retries per window, a failure affects many requests at once, and
 * processes are killed and restarted meanwhile. Requests and elapsed time earn retries; unspent ones are carried over
 * up to a bound, and a new process starts with none. Over any window, all incarnations of a process together therefore
 * spend at most the carry-over bound plus what was earned within the window, without coordination between processes.
 * Part of the balance may be reserved for the resumption of begun streams, which cannot be rejected any more.
 *
 * <p>RetryBudget is thread-safe.
 */
public final class RetryBudget {
    /** The carry-over bound besides the allowance, as a share of what the requests of a window earn. */
    public static final double CARRY_OVER_SHARE = 0.25;

    /** The share of the allowance that may be carried over; the rest accrues with time. */
    private static final double ALLOWANCE_CARRY_OVER = 0.5;

    private static final int SLICES = 10;

    private final double share;
    private int allowance;
    private double reservedShare;
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
     * Creates an empty budget.
     *
     * @param share the retries that a request earns, above 0, at most 1
     * @param allowance additional retries per window, 0 or more
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

    /** Changes the additional retries per window. */
    public synchronized void setAllowance(int newAllowance) {
        if (newAllowance < 0) {
            throw new IllegalArgumentException("allowance must be 0 or more: " + newAllowance);
        }
        accrue(0);
        allowance = newAllowance;
    }

    /** Changes the share of the carry-over bound that is reserved for resumptions; none is by default. */
    public synchronized void setReservedShare(double newShare) {
        if (!(newShare >= 0 && newShare < 1)) {
            throw new IllegalArgumentException("share must be at least 0 and below 1: " + newShare);
        }
        reservedShare = newShare;
    }

    /** Records a request, which earns part of a retry. */
    public synchronized void recordRequest() {
        currentSlice().requests++;
        accrue(share);
    }

    /**
     * Takes a retry from the budget, leaving what is reserved for resumptions.
     *
     * @return false if none is left
     */
    public synchronized boolean tryRetry() {
        // the whole balance must suffice for one retry, or small budgets would never allow any
        double limit = carryOverLimit();
        return tryTake(Math.min(reservedShare * limit, limit - 1));
    }

    /**
     * Takes the retry of a begun stream from the budget.
     *
     * @return false if none is left
     */
    public synchronized boolean tryResume() {
        return tryTake(0);
    }

    private boolean tryTake(double reserved) {
        accrue(0);
        if (balance < 1 + reserved) {
            return false;
        }
        balance--;
        return true;
    }

    /** Adds what accrued since the last update, up to the carry-over bound. */
    private void accrue(double amount) {
        long now = clock.millis();
        double accrued = (1 - ALLOWANCE_CARRY_OVER) * allowance * Math.max(0, now - updatedMillis) / windowMillis;
        updatedMillis = now;
        balance = Math.min(carryOverLimit(), balance + accrued + amount);
    }

    /** Returns the carry-over bound: at least one retry, or small budgets would never reach a whole one. */
    private double carryOverLimit() {
        return Math.max(1, ALLOWANCE_CARRY_OVER * allowance + CARRY_OVER_SHARE * share * requestsOfWindow());
    }

    /** Returns the requests of the window without the oldest slice, which is only partly inside it. */
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

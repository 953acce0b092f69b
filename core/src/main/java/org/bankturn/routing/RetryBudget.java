package org.bankturn.routing;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps retries to a share of the requests, so that a failure does not multiply the load that caused it.
 *
 * <p>RetryBudget is thread-safe; it uses one atomic.
 */
public final class RetryBudget {
    private static final long RETRY_COST = 100;

    private final long earnedPerRequest;
    private final long mostSaved;
    private final AtomicLong saved;

    /**
     * Creates a budget.
     *
     * @param percent retries per hundred requests, from 1 to 100
     * @param burst retries that may be saved up, and are there at the start
     * @return the budget, not null
     */
    public static RetryBudget ofPercent(int percent, int burst) {
        return new RetryBudget(percent, burst);
    }

    private RetryBudget(int percent, int burst) {
        if (percent < 1 || percent > RETRY_COST) {
            throw new IllegalArgumentException("percent must be from 1 to 100: " + percent);
        }
        this.earnedPerRequest = percent;
        this.mostSaved = burst * RETRY_COST;
        this.saved = new AtomicLong(mostSaved);
    }

    /** Counts a request, which earns a part of a retry. */
    public void requestSeen() {
        saved.accumulateAndGet(earnedPerRequest, (have, earned) -> Math.min(mostSaved, have + earned));
    }

    /**
     * Takes a retry out of the budget.
     *
     * @return false if there is none left, and the request must be given up on
     */
    public boolean tryRetry() {
        long before = saved.getAndUpdate(have -> have >= RETRY_COST ? have - RETRY_COST : have);
        return before >= RETRY_COST;
    }
}

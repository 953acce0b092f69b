package org.bankturn.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bankturn.result.ResultCode;

/**
 * Admits requests so that each client account receives its weighted share of the concurrent capacity of the targets.
 *
 * <p>Up to {@link #SHARED_PERCENT} of the capacity, requests of every account are admitted. Above it, only accounts within
 * their share are, so that a few large accounts cannot use the capacity reserved for small ones. A request whose
 * deadline has passed is rejected. Requests are not queued.
 *
 * <p>FairAdmission is thread-safe; it uses atomics.
 */
public final class FairAdmission {
    /** The percentage of the capacity that is available to all accounts regardless of their shares. */
    public static final int SHARED_PERCENT = 75;

    private static final long PERCENT = 100;
    private static final long SMOOTHING_DIVISOR = 16;
    private static final long MIN_RETRY_MILLIS = 50;

    private final Map<String, AtomicInteger> running = new ConcurrentHashMap<>();
    private final AtomicInteger total = new AtomicInteger();
    private final AtomicLong meanServiceMillis = new AtomicLong();

    /**
     * A request to be admitted or rejected.
     *
     * @param account the client account, not null
     * @param weight the weight of the account
     * @param totalWeight the sum of the weights of all accounts
     * @param capacity the number of requests that the targets can process concurrently
     * @param remainingMillis the time remaining until the deadline
     */
    public record Candidate(String account, int weight, long totalWeight, int capacity, long remainingMillis) {
        private long share() {
            return Math.max(1, (long) capacity * weight / Math.max(1, totalWeight));
        }
    }

    /** Creates an admission control with no running requests. */
    public FairAdmission() {}

    /**
     * Decides whether to admit a request.
     *
     * @param candidate the request, not null
     * @return the decision, not null
     */
    public AdmissionDecision decide(Candidate candidate) {
        if (candidate.remainingMillis() <= 0) {
            return new AdmissionDecision.Refused(ResultCode.NOT_RUN_DEADLINE, MIN_RETRY_MILLIS);
        }
        AtomicInteger accountCounter = running.computeIfAbsent(candidate.account(), name -> new AtomicInteger());
        int accountRunning = accountCounter.incrementAndGet();
        int totalRunning = total.incrementAndGet();
        boolean belowSharedLimit = totalRunning * PERCENT <= (long) candidate.capacity() * SHARED_PERCENT;
        boolean withinShare = totalRunning <= candidate.capacity() && accountRunning <= candidate.share();
        if (belowSharedLimit || withinShare) {
            return new AdmissionDecision.Admitted();
        }
        accountCounter.decrementAndGet();
        total.decrementAndGet();
        return new AdmissionDecision.Refused(ResultCode.NOT_RUN_OVERLOADED, retryAfterMillis(candidate));
    }

    /**
     * Records the completion of an admitted request.
     *
     * @param account the client account, not null
     * @param durationMillis the processing time of the request
     */
    public void complete(String account, long durationMillis) {
        running.get(account).decrementAndGet();
        total.decrementAndGet();
        meanServiceMillis.updateAndGet(
                mean -> mean == 0 ? durationMillis : mean + (durationMillis - mean) / SMOOTHING_DIVISOR);
    }

    /** Returns the number of running requests. */
    public int running() {
        return total.get();
    }

    /** Estimates when the account drops below its share, from its excess requests and the mean service time. */
    private long retryAfterMillis(Candidate candidate) {
        int accountRunning = running.get(candidate.account()).get();
        long excess = Math.max(1, accountRunning - candidate.share() + 1);
        long releaseIntervalMillis = meanServiceMillis.get() / Math.max(1, candidate.share());
        return Math.max(MIN_RETRY_MILLIS, excess * releaseIntervalMillis);
    }
}

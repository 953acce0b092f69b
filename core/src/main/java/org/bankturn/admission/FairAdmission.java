package org.bankturn.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bankturn.result.ResultCode;

/**
 * Takes requests on so that client accounts get their weighted shares of what the targets can do at once.
 *
 * <p>While there is room, everyone is taken on. Beyond {@link #SHARED_PERCENT} of the capacity only accounts below their
 * share are, so a few large accounts cannot fill the room that small ones are due. A request that cannot make its
 * deadline is refused at once. There is no queue.
 *
 * <p>FairAdmission is thread-safe; it uses atomics.
 */
public final class FairAdmission {
    /** Percentage of the capacity that any account may use as long as it is free. */
    public static final int SHARED_PERCENT = 75;

    private static final long PERCENT = 100;
    private static final long SMOOTHING = 16;
    private static final long MINIMUM_RETRY_MILLIS = 50;

    private final Map<String, AtomicInteger> running = new ConcurrentHashMap<>();
    private final AtomicInteger total = new AtomicInteger();
    private final AtomicLong serviceMillis = new AtomicLong();

    /**
     * A request that asks to be taken on.
     *
     * @param account the client account, not null
     * @param weight the account's weight
     * @param totalWeight the weights of all accounts together
     * @param capacity the requests that the targets can work on at once
     * @param remainingMillis the time left to its deadline
     */
    public record Candidate(String account, int weight, long totalWeight, int capacity, long remainingMillis) {
        private long share() {
            return Math.max(1, (long) capacity * weight / Math.max(1, totalWeight));
        }
    }

    /** Creates an admission with nothing running. */
    public FairAdmission() {}

    /**
     * Decides on a request.
     *
     * @param candidate the request, not null
     * @return the decision, not null
     */
    public AdmissionDecision decide(Candidate candidate) {
        if (candidate.remainingMillis() <= 0) {
            return new AdmissionDecision.Refused(ResultCode.NOT_RUN_DEADLINE, MINIMUM_RETRY_MILLIS);
        }
        AtomicInteger own = running.computeIfAbsent(candidate.account(), name -> new AtomicInteger());
        int ownNow = own.incrementAndGet();
        int totalNow = total.incrementAndGet();
        boolean room = totalNow * PERCENT <= (long) candidate.capacity() * SHARED_PERCENT;
        boolean belowShare = totalNow <= candidate.capacity() && ownNow <= candidate.share();
        if (room || belowShare) {
            return new AdmissionDecision.Admitted();
        }
        own.decrementAndGet();
        total.decrementAndGet();
        return new AdmissionDecision.Refused(ResultCode.NOT_RUN_OVERLOADED, retryAfterMillis(candidate));
    }

    /**
     * Counts a request that was taken on as ended.
     *
     * @param account the client account, not null
     * @param tookMillis how long it was worked on
     */
    public void complete(String account, long tookMillis) {
        running.get(account).decrementAndGet();
        total.decrementAndGet();
        serviceMillis.updateAndGet(old -> old == 0 ? tookMillis : old + (tookMillis - old) / SMOOTHING);
    }

    /** Returns the requests being worked on. */
    public int running() {
        return total.get();
    }

    /** A place frees up every service time over capacity; the account's excess over its share comes on top. */
    private long retryAfterMillis(Candidate candidate) {
        int own = running.get(candidate.account()).get();
        long excess = Math.max(1, own - candidate.share() + 1);
        long each = serviceMillis.get() / Math.max(1, candidate.share());
        return Math.max(MINIMUM_RETRY_MILLIS, excess * each);
    }
}

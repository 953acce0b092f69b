package org.bankturn.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Counts the grants to fetch each chunk of one version from the origin; part of the replicated state.
 *
 * <p>Every fetch from the origin requires a grant, which is counted when it is given. So the limit of
 * {@link DistributionPolicy#MAXIMUM_ORIGIN_COPIES} copies holds despite message loss, restarts and changes of leader.
 *
 * <p>This class is mutable and not thread-safe.
 */
public final class OriginBudget {
    /** The limit of grants in flight, high enough to saturate the origin's link without a long queue. */
    public static final int MAX_GRANTS_IN_FLIGHT = 12;

    /** The least time after which a grant counts as overdue; slow grants raise it to a multiple of the usual duration. */
    public static final long MIN_GRANT_TIMEOUT_MILLIS = 4_000;

    private static final int TIMEOUT_FACTOR = 4;
    private static final int SMOOTHING = 8;

    private final int[] grants;
    private final long[] grantedMillis;
    private final String[] holders;
    private final BitSet underWay;
    private long usualMillis;
    private int total;

    /**
     * The state of a budget in snapshots.
     *
     * @param grants the number of grants by chunk, not null
     * @param grantedMillis the time of the last grant by chunk, on the leader's clock, not null
     * @param holders the box with the last grant by chunk, null entries without a grant, not null
     * @param underWay the chunks whose last grant is in flight, as the longs of a bit set, not null
     * @param usualMillis the moving average of the duration of grants
     */
    public record Snapshot(int[] grants, long[] grantedMillis, String[] holders, long[] underWay, long usualMillis) {}

    /**
     * A request of a box for grants.
     *
     * @param box the name of the box, not null
     * @param unreachable the chunks that neither the box nor any of its neighbours holds, not null
     * @param wanted the limit of chunks to grant
     * @param policy the policy, which limits grants per chunk, not null
     * @param silentBoxes the boxes without recent heartbeats, not null
     * @param nowMillis the current time on the leader's clock
     */
    public record Request(
            String box,
            BitSet unreachable,
            int wanted,
            DistributionPolicy policy,
            Set<String> silentBoxes,
            long nowMillis) {}

    /**
     * Creates a budget without grants.
     *
     * @param chunkCount the number of chunks, at least 1
     * @return the budget, not null
     */
    public static OriginBudget ofChunks(int chunkCount) {
        return new OriginBudget(new int[chunkCount], new long[chunkCount], new String[chunkCount], new BitSet(), 0);
    }

    /**
     * Restores a budget from a snapshot.
     *
     * @param saved the result of {@link #snapshot()}, not null
     * @return the budget, not null
     */
    public static OriginBudget restore(Snapshot saved) {
        return new OriginBudget(
                saved.grants().clone(),
                saved.grantedMillis().clone(),
                saved.holders().clone(),
                BitSet.valueOf(saved.underWay()),
                saved.usualMillis());
    }

    private OriginBudget(int[] grants, long[] grantedMillis, String[] holders, BitSet underWay, long usualMillis) {
        this.grants = grants;
        this.grantedMillis = grantedMillis;
        this.holders = holders;
        this.underWay = underWay;
        this.usualMillis = usualMillis;
        for (int count : grants) {
            total += count;
        }
    }

    // ---- queries

    /** Returns a snapshot of this budget, not null. */
    public Snapshot snapshot() {
        return new Snapshot(
                grants.clone(), grantedMillis.clone(), holders.clone(), underWay.toLongArray(), usualMillis);
    }

    /** Returns the number of grants, in copies of the whole version. */
    public double grantedCopies() {
        return (double) total / grants.length;
    }

    /**
     * Returns true if {@link #grant} would grant at least one chunk.
     *
     * @param request the request, not null
     * @return true if a chunk would be granted
     */
    public boolean hasGrantFor(Request request) {
        return hasCapacity(request.nowMillis()) && nextChunk(request, List.of()).isPresent();
    }

    // ---- commands

    /**
     * Completes grants, which frees capacity for others.
     *
     * @param stored the chunks that the box has stored, not null
     * @param failed the chunks that were lost or corrupt, which may be granted again, not null
     * @param nowMillis the current time on the leader's clock
     */
    public void completeGrants(BitSet stored, BitSet failed, long nowMillis) {
        stored.stream().filter(underWay::get).forEach(chunk -> {
            long durationMillis = nowMillis - grantedMillis[chunk];
            usualMillis += (durationMillis - usualMillis) / SMOOTHING;
            underWay.clear(chunk);
        });
        failed.stream().filter(underWay::get).forEach(chunk -> {
            underWay.clear(chunk);
            holders[chunk] = null;
        });
    }

    /**
     * Grants chunks, those with the fewest grants first.
     *
     * @param request the request, not null
     * @return the granted chunks, may be empty, not null
     */
    public List<Integer> grant(Request request) {
        List<Integer> granted = new ArrayList<>();
        while (granted.size() < request.wanted() && hasCapacity(request.nowMillis())) {
            Optional<Integer> nextChunk = nextChunk(request, granted);
            if (nextChunk.isEmpty()) {
                break;
            }
            int chunk = nextChunk.get();
            grants[chunk]++;
            grantedMillis[chunk] = request.nowMillis();
            holders[chunk] = request.box();
            underWay.set(chunk);
            total++;
            granted.add(chunk);
        }
        return granted;
    }

    private boolean hasCapacity(long nowMillis) {
        long activeGrants =
                underWay.stream().filter(chunk -> !isOverdue(chunk, nowMillis)).count();
        return activeGrants < MAX_GRANTS_IN_FLIGHT && total < grants.length * DistributionPolicy.MAXIMUM_ORIGIN_COPIES;
    }

    private boolean isOverdue(int chunk, long nowMillis) {
        long limit = Math.max(MIN_GRANT_TIMEOUT_MILLIS, TIMEOUT_FACTOR * usualMillis);
        return nowMillis - grantedMillis[chunk] >= limit;
    }

    /** Returns true if the last fetch of a chunk failed or is overdue, or if its holder has gone silent. */
    private boolean isLost(int chunk, Request request) {
        if (holders[chunk] == null) {
            return true;
        }
        boolean overdue = isOverdue(chunk, request.nowMillis());
        return overdue && (underWay.get(chunk) || request.silentBoxes().contains(holders[chunk]));
    }

    private Optional<Integer> nextChunk(Request request, List<Integer> taken) {
        int best = -1;
        BitSet unreachable = request.unreachable();
        for (int chunk = unreachable.nextSetBit(0);
                chunk >= 0 && chunk < grants.length;
                chunk = unreachable.nextSetBit(chunk + 1)) {
            boolean belowPolicyLimit = grants[chunk] < request.policy().maxCopiesPerChunk();
            boolean eligible = (belowPolicyLimit || isLost(chunk, request)) && !taken.contains(chunk);
            if (eligible && (best < 0 || grants[chunk] < grants[best])) {
                best = chunk;
            }
        }
        return best < 0 ? Optional.empty() : Optional.of(best);
    }

    @Override
    public String toString() {
        return "OriginBudget[" + grantedCopies() + " copies]";
    }
}

package org.bankturn.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * How often each chunk of one version was granted for drawing from the origin; part of the agreed state.
 *
 * <p>A box draws from the origin only with a grant and once per grant, and a grant counts when it is given, so no loss,
 * restart or change of leader lets more be drawn than {@link DistributionPolicy#MAXIMUM_ORIGIN_COPIES} copies.
 *
 * <p>OriginBudget is mutable and not thread-safe.
 */
public final class OriginBudget {
    /** Grants under way at a time: enough to fill the origin's link, few enough that none waits long in its queue. */
    public static final int MAX_GRANTS_IN_FLIGHT = 12;

    /** A grant counts as lost after this long at least, or after several times as long as grants take. */
    public static final long MIN_GRANT_TIMEOUT_MILLIS = 4_000;

    private static final int REPAIR_FACTOR = 4;
    private static final int SMOOTHING = 8;

    private final int[] grants;
    private final long[] grantedMillis;
    private final String[] holders;
    private final BitSet underWay;
    private long usualMillis;
    private int total;

    /**
     * What a snapshot keeps.
     *
     * @param grants the grants by chunk, not null
     * @param grantedMillis the leader's time of each chunk's last grant, not null
     * @param holders the box that was last granted each chunk, null if none was, not null
     * @param underWay the chunks whose last grant has not ended, as a bit set of little-endian longs, not null
     * @param usualMillis how long grants have taken of late
     */
    public record Snapshot(int[] grants, long[] grantedMillis, String[] holders, long[] underWay, long usualMillis) {}

    /**
     * What a box asks for.
     *
     * @param box the box, not null
     * @param unreachable the chunks that neither it nor any box it knows holds, not null
     * @param wanted how many at most
     * @param policy how many boxes may draw the same chunk, not null
     * @param silentBoxes boxes that the leader no longer hears from, not null
     * @param nowMillis the leader's time
     */
    public record Request(
            String box,
            BitSet unreachable,
            int wanted,
            DistributionPolicy policy,
            Set<String> silentBoxes,
            long nowMillis) {}

    /**
     * Creates a budget with nothing granted.
     *
     * @param chunkCount the number of chunks, from 1
     * @return the budget, not null
     */
    public static OriginBudget ofChunks(int chunkCount) {
        return new OriginBudget(new int[chunkCount], new long[chunkCount], new String[chunkCount], new BitSet(), 0);
    }

    /**
     * Restores a budget.
     *
     * @param saved what {@link #save()} gave, not null
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

    /** Returns what a snapshot keeps, not null. */
    public Snapshot snapshot() {
        return new Snapshot(
                grants.clone(), grantedMillis.clone(), holders.clone(), underWay.toLongArray(), usualMillis);
    }

    /** Returns the grants given, in copies of the whole version. */
    public double grantedCopies() {
        return (double) total / grants.length;
    }

    /**
     * Tells whether {@link #grant} would grant anything, without doing so.
     *
     * @param request what is asked for, not null
     * @return true if at least one chunk would be granted
     */
    public boolean hasGrantFor(Request request) {
        return hasRoom(request.nowMillis()) && next(request, List.of()).isPresent();
    }

    // ---- commands

    /**
     * Takes in that draws have ended, which makes room for others.
     *
     * @param kept the chunks that the box now holds, not null
     * @param failed the chunks that did not arrive or did not match, which may be granted again, not null
     * @param nowMillis the leader's time
     */
    public void completeGrants(BitSet kept, BitSet failed, long nowMillis) {
        kept.stream().filter(underWay::get).forEach(chunk -> {
            long took = nowMillis - grantedMillis[chunk];
            usualMillis += (took - usualMillis) / SMOOTHING;
            underWay.clear(chunk);
        });
        failed.stream().filter(underWay::get).forEach(chunk -> {
            underWay.clear(chunk);
            holders[chunk] = null;
        });
    }

    /**
     * Grants chunks, least granted first.
     *
     * @param request what is asked for, not null
     * @return the chunks granted, maybe none, not null
     */
    public List<Integer> grant(Request request) {
        List<Integer> granted = new ArrayList<>();
        while (granted.size() < request.wanted() && hasRoom(request.nowMillis())) {
            Optional<Integer> next = next(request, granted);
            if (next.isEmpty()) {
                break;
            }
            int chunk = next.get();
            grants[chunk]++;
            grantedMillis[chunk] = request.nowMillis();
            holders[chunk] = request.box();
            underWay.set(chunk);
            total++;
            granted.add(chunk);
        }
        return granted;
    }

    private boolean hasRoom(long nowMillis) {
        long live =
                underWay.stream().filter(chunk -> !isOverdue(chunk, nowMillis)).count();
        return live < MAX_GRANTS_IN_FLIGHT && total < grants.length * DistributionPolicy.MAXIMUM_ORIGIN_COPIES;
    }

    private boolean isOverdue(int chunk, long nowMillis) {
        long limit = Math.max(MIN_GRANT_TIMEOUT_MILLIS, REPAIR_FACTOR * usualMillis);
        return nowMillis - grantedMillis[chunk] >= limit;
    }

    /** A chunk is lost if its draw failed or takes too long, or if the box that drew it last fell silent. */
    private boolean isLost(int chunk, Request request) {
        if (holders[chunk] == null) {
            return true;
        }
        boolean late = isOverdue(chunk, request.nowMillis());
        return late && (underWay.get(chunk) || request.silentBoxes().contains(holders[chunk]));
    }

    private Optional<Integer> next(Request request, List<Integer> taken) {
        int best = -1;
        BitSet unreachable = request.unreachable();
        for (int chunk = unreachable.nextSetBit(0);
                chunk >= 0 && chunk < grants.length;
                chunk = unreachable.nextSetBit(chunk + 1)) {
            boolean firstPass = grants[chunk] < request.policy().maxCopiesPerChunk();
            boolean open = (firstPass || isLost(chunk, request)) && !taken.contains(chunk);
            if (open && (best < 0 || grants[chunk] < grants[best])) {
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

package org.bankturn.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/**
 * How often each chunk of one version was granted for drawing from the origin; part of the agreed state.
 *
 * <p>A box draws from the origin only with a grant and once per grant, and a grant counts when it is given, so no loss,
 * restart or change of leader lets more be drawn than {@link BurstPolicy#MAXIMUM_ORIGIN_COPIES} copies.
 *
 * <p>OriginBudget is mutable and not thread-safe.
 */
public final class OriginBudget {
    /** A chunk that nobody near the asking box holds this long after its last grant is granted again. */
    public static final long REPAIR_MILLIS = 4_000;

    private final int[] grants;
    private final long[] grantedMillis;
    private int total;

    /**
     * What a snapshot keeps.
     *
     * @param grants the grants by chunk, not null
     * @param grantedMillis the leader's time of each chunk's last grant, not null
     */
    public record Saved(int[] grants, long[] grantedMillis) {}

    /**
     * Creates a budget with nothing granted.
     *
     * @param chunkCount the number of chunks, from 1
     * @return the budget, not null
     */
    public static OriginBudget ofChunks(int chunkCount) {
        return new OriginBudget(new int[chunkCount], new long[chunkCount]);
    }

    /**
     * Restores a budget.
     *
     * @param saved what {@link #save()} gave, not null
     * @return the budget, not null
     */
    public static OriginBudget restore(Saved saved) {
        return new OriginBudget(saved.grants().clone(), saved.grantedMillis().clone());
    }

    private OriginBudget(int[] grants, long[] grantedMillis) {
        this.grants = grants;
        this.grantedMillis = grantedMillis;
        for (int count : grants) {
            total += count;
        }
    }

    /** Returns what a snapshot keeps, not null. */
    public Saved save() {
        return new Saved(grants.clone(), grantedMillis.clone());
    }

    /** Returns the grants given, in copies of the whole version. */
    public double grantedCopies() {
        return (double) total / grants.length;
    }

    /**
     * Grants chunks, least granted first.
     *
     * @param unreachable the chunks that neither the asking box nor any box it knows holds, not null
     * @param wanted how many at most
     * @param policy how many boxes may draw the same chunk, not null
     * @param nowMillis the leader's time
     * @return the chunks granted, maybe none, not null
     */
    public List<Integer> grant(BitSet unreachable, int wanted, BurstPolicy policy, long nowMillis) {
        List<Integer> granted = new ArrayList<>();
        while (granted.size() < wanted && total < grants.length * BurstPolicy.MAXIMUM_ORIGIN_COPIES) {
            Optional<Integer> next = next(unreachable, policy, nowMillis, granted);
            if (next.isEmpty()) {
                break;
            }
            int chunk = next.get();
            grants[chunk]++;
            grantedMillis[chunk] = nowMillis;
            total++;
            granted.add(chunk);
        }
        return granted;
    }

    private Optional<Integer> next(BitSet unreachable, BurstPolicy policy, long nowMillis, List<Integer> taken) {
        int best = -1;
        for (int chunk = unreachable.nextSetBit(0);
                chunk >= 0 && chunk < grants.length;
                chunk = unreachable.nextSetBit(chunk + 1)) {
            boolean firstPass = grants[chunk] < policy.copiesOfChunk();
            boolean lost = nowMillis - grantedMillis[chunk] >= REPAIR_MILLIS;
            boolean open = (firstPass || lost) && !taken.contains(chunk);
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

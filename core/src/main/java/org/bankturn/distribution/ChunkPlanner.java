package org.bankturn.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the next chunk to fetch and its source: the rarest available chunk from the least busy neighbour.
 *
 * <p>A planner serves one copy of one version and performs no I/O. The caller reports the chunks of neighbours, requests
 * transfers with {@link #nextTransfer} and reports their outcomes.
 *
 * <p>This class is mutable and not thread-safe.
 */
public final class ChunkPlanner {
    /** The number of corrupt chunks after which a neighbour is no longer used. */
    public static final int CORRUPT_LIMIT = 3;

    /** The time for which a busy neighbour is not used. */
    public static final long BUSY_MILLIS = 60;

    private final int chunkCount;
    private final UniformRandomProvider random;
    private final int transfersPerNeighbour;
    private final BitSet held;
    private final BitSet inFlight = new BitSet();
    private final Map<String, Neighbour> neighbours = new HashMap<>();

    /**
     * A transfer to start.
     *
     * @param chunk the chunk's number
     * @param neighbour the name of the source, not null
     */
    public record Transfer(int chunk, String neighbour) {}

    /** The outcome of a transfer. */
    public enum TransferOutcome {
        /** The chunk was verified and stored. */
        KEPT,
        /** The chunk did not match its digest. */
        CORRUPT,
        /** The source did not answer in time. */
        FAILED,
        /** The neighbour rejected the request because of too many transfers. */
        BUSY
    }

    private static final class Neighbour {
        private BitSet holds = new BitSet();
        private int transfers;
        private int corrupt;
        private long busyUntilMillis;
    }

    /**
     * Creates a planner.
     *
     * @param chunkCount the number of chunks, at least 1
     * @param held the chunks that the box already holds, not null
     * @param transfersPerNeighbour the limit of concurrent transfers from one neighbour
     * @param random the source of randomness for ties, so that boxes select different chunks, not null
     * @return the planner, not null
     */
    public static ChunkPlanner of(
            int chunkCount, BitSet held, int transfersPerNeighbour, UniformRandomProvider random) {
        return new ChunkPlanner(chunkCount, held, transfersPerNeighbour, random);
    }

    private ChunkPlanner(int chunkCount, BitSet held, int transfersPerNeighbour, UniformRandomProvider random) {
        this.chunkCount = chunkCount;
        this.held = (BitSet) held.clone();
        this.transfersPerNeighbour = transfersPerNeighbour;
        this.random = random;
    }

    /** Returns true if the box holds every chunk. */
    public boolean isComplete() {
        return held.cardinality() == chunkCount;
    }

    /** Returns the missing chunks that no usable neighbour holds, not null. */
    public BitSet unreachable() {
        BitSet missing = missing();
        neighbours.values().stream()
                .filter(ChunkPlanner::isUsable)
                .forEach(neighbour -> missing.andNot(neighbour.holds));
        return missing;
    }

    /** Returns the chunks that are neither held nor in flight, not null. */
    public BitSet missing() {
        BitSet missing = new BitSet();
        missing.set(0, chunkCount);
        missing.andNot(held);
        missing.andNot(inFlight);
        return missing;
    }

    /**
     * Updates the chunks that a neighbour holds.
     *
     * @param name the name of the neighbour, not null
     * @param holds the chunks of the neighbour, not null
     */
    public void updateNeighbour(String name, BitSet holds) {
        Neighbour neighbour = neighbours.computeIfAbsent(name, key -> new Neighbour());
        neighbour.holds = (BitSet) holds.clone();
    }

    /**
     * Clears the chunks of a neighbour that does not respond.
     *
     * @param name the name of the neighbour, not null
     */
    public void clearNeighbour(String name) {
        Neighbour neighbour = neighbours.get(name);
        if (neighbour != null) {
            neighbour.holds = new BitSet();
        }
    }

    /**
     * Selects the next transfer and marks its chunk as in flight.
     *
     * @param nowMillis the current time
     * @return the transfer, empty if no usable neighbour holds a missing chunk
     */
    public Optional<Transfer> nextTransfer(long nowMillis) {
        BitSet missing = missing();
        int start = missing.isEmpty() ? 0 : random.nextInt(chunkCount);
        int rarest = -1;
        int rarestHolders = Integer.MAX_VALUE;
        for (int step = 0; step < chunkCount; step++) {
            int chunk = (start + step) % chunkCount;
            if (missing.get(chunk)) {
                int holders = holdersOf(chunk);
                if (holders > 0
                        && holders < rarestHolders
                        && leastBusyHolder(chunk, nowMillis).isPresent()) {
                    rarest = chunk;
                    rarestHolders = holders;
                }
            }
        }
        if (rarest < 0) {
            return Optional.empty();
        }
        String neighbour = leastBusyHolder(rarest, nowMillis).orElseThrow();
        neighbours.get(neighbour).transfers++;
        inFlight.set(rarest);
        return Optional.of(new Transfer(rarest, neighbour));
    }

    /**
     * Marks a chunk as in flight from the origin.
     *
     * @param chunk the chunk's number
     */
    public void originFetchStarted(int chunk) {
        inFlight.set(chunk);
    }

    /**
     * Records the outcome of a fetch from the origin.
     *
     * @param chunk the chunk's number
     * @param outcome the outcome, not null
     */
    public void originFetchEnded(int chunk, TransferOutcome outcome) {
        recordOutcome(chunk, outcome);
    }

    /**
     * Records the outcome of a transfer.
     *
     * @param transfer the transfer, not null
     * @param outcome the outcome, not null
     * @param nowMillis the current time
     */
    public void transferEnded(Transfer transfer, TransferOutcome outcome, long nowMillis) {
        Neighbour neighbour = neighbours.get(transfer.neighbour());
        neighbour.transfers--;
        if (outcome == TransferOutcome.CORRUPT) {
            neighbour.corrupt++;
            neighbour.holds.clear(transfer.chunk());
        } else if (outcome == TransferOutcome.BUSY) {
            neighbour.busyUntilMillis = nowMillis + BUSY_MILLIS;
        } else if (outcome == TransferOutcome.FAILED) {
            neighbour.holds.clear(transfer.chunk());
        }
        recordOutcome(transfer.chunk(), outcome);
    }

    private void recordOutcome(int chunk, TransferOutcome outcome) {
        inFlight.clear(chunk);
        if (outcome == TransferOutcome.KEPT) {
            held.set(chunk);
        }
    }

    private int holdersOf(int chunk) {
        int holders = 0;
        for (Neighbour neighbour : neighbours.values()) {
            if (isUsable(neighbour) && neighbour.holds.get(chunk)) {
                holders++;
            }
        }
        return holders;
    }

    private Optional<String> leastBusyHolder(int chunk, long nowMillis) {
        List<String> least = new ArrayList<>();
        int transfers = transfersPerNeighbour;
        for (Map.Entry<String, Neighbour> entry : neighbours.entrySet()) {
            Neighbour neighbour = entry.getValue();
            boolean busy = nowMillis < neighbour.busyUntilMillis || neighbour.transfers > transfers;
            if (!isUsable(neighbour) || !neighbour.holds.get(chunk) || busy) {
                continue;
            }
            if (neighbour.transfers < transfers) {
                transfers = neighbour.transfers;
                least.clear();
            }
            if (neighbour.transfers < transfersPerNeighbour) {
                least.add(entry.getKey());
            }
        }
        return least.isEmpty() ? Optional.empty() : Optional.of(least.get(random.nextInt(least.size())));
    }

    private static boolean isUsable(Neighbour neighbour) {
        return neighbour.corrupt < CORRUPT_LIMIT;
    }

    @Override
    public String toString() {
        return "ChunkPlanner[" + held.cardinality() + " of " + chunkCount + "]";
    }
}

package org.bankturn.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides which chunk a box takes next and from which neighbour: the rarest it can get, from the least busy holder.
 *
 * <p>One planner serves one copy of one version. Tell it what neighbours hold, ask {@link #next} while there is room
 * for more transfers, and say how each ended. It does no I/O.
 *
 * <p>ChunkPlanner is mutable and not thread-safe.
 */
public final class ChunkPlanner {
    /** Corrupt chunks from one neighbour after which nothing more is asked of it. */
    public static final int CORRUPT_LIMIT = 3;

    /** A neighbour whose link is taken is left alone for this long, and others are asked instead. */
    public static final long BUSY_MILLIS = 60;

    private final int chunkCount;
    private final UniformRandomProvider random;
    private final int transfersPerNeighbour;
    private final BitSet held;
    private final BitSet underway = new BitSet();
    private final Map<String, Neighbour> neighbours = new HashMap<>();

    /**
     * A transfer to start.
     *
     * @param chunk the chunk's number
     * @param neighbour whom to ask, not null
     */
    public record Transfer(int chunk, String neighbour) {}

    /** How a transfer ended. */
    public enum TransferOutcome {
        /** The chunk was verified and kept. */
        KEPT,
        /** The chunk did not match its digest. */
        CORRUPT,
        /** The neighbour did not answer, or not in time. */
        FAILED,
        /** The neighbour has too many transfers at the moment. */
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
     * @param chunkCount the number of chunks, from 1
     * @param held the chunks that the box holds already, not null
     * @param transfersPerNeighbour transfers from one neighbour at a time, at most
     * @param random breaks ties, so that boxes do not all take the same chunk, not null
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

    /** Returns the chunks that neither the box nor any neighbour holds, nor any transfer is bringing, not null. */
    public BitSet unreachable() {
        BitSet missing = missing();
        neighbours.values().stream()
                .filter(ChunkPlanner::isUsable)
                .forEach(neighbour -> missing.andNot(neighbour.holds));
        return missing;
    }

    /** Returns the chunks that the box lacks and no transfer is bringing, not null. */
    public BitSet missing() {
        BitSet missing = new BitSet();
        missing.set(0, chunkCount);
        missing.andNot(held);
        missing.andNot(underway);
        return missing;
    }

    /**
     * Takes in what a neighbour holds.
     *
     * @param name the neighbour, not null
     * @param holds its chunks, not null
     */
    public void updateNeighbour(String name, BitSet holds) {
        Neighbour neighbour = neighbours.computeIfAbsent(name, key -> new Neighbour());
        neighbour.holds = (BitSet) holds.clone();
    }

    /**
     * Forgets a neighbour that does not answer.
     *
     * @param name the neighbour, not null
     */
    public void clearNeighbour(String name) {
        Neighbour neighbour = neighbours.get(name);
        if (neighbour != null) {
            neighbour.holds = new BitSet();
        }
    }

    /**
     * Chooses the next transfer and counts it as begun.
     *
     * @param nowMillis the box's time
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
        underway.set(rarest);
        return Optional.of(new Transfer(rarest, neighbour));
    }

    /**
     * Counts a chunk as being drawn from the origin.
     *
     * @param chunk the chunk's number
     */
    public void originFetchStarted(int chunk) {
        underway.set(chunk);
    }

    /**
     * Takes in how a draw from the origin ended.
     *
     * @param chunk the chunk's number
     * @param ending how it ended, not null
     */
    public void originFetchEnded(int chunk, TransferOutcome ending) {
        end(chunk, ending);
    }

    /**
     * Takes in how a transfer ended.
     *
     * @param transfer the transfer, not null
     * @param ending how it ended, not null
     * @param nowMillis the box's time
     */
    public void transferEnded(Transfer transfer, TransferOutcome ending, long nowMillis) {
        Neighbour neighbour = neighbours.get(transfer.neighbour());
        neighbour.transfers--;
        if (ending == TransferOutcome.CORRUPT) {
            neighbour.corrupt++;
            neighbour.holds.clear(transfer.chunk());
        } else if (ending == TransferOutcome.BUSY) {
            neighbour.busyUntilMillis = nowMillis + BUSY_MILLIS;
        } else if (ending == TransferOutcome.FAILED) {
            neighbour.holds.clear(transfer.chunk());
        }
        end(transfer.chunk(), ending);
    }

    private void end(int chunk, TransferOutcome ending) {
        underway.clear(chunk);
        if (ending == TransferOutcome.KEPT) {
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

package org.bankturn.daemon.http;

/**
 * The bounds on output that clients have not read yet.
 *
 * @param connectionBytes the bound for one connection, which applies to a client that has stopped reading
 * @param softTotalBytes the bound for all connections, above which clients that have stopped reading are disconnected
 * @param hardTotalBytes the bound for all connections, above which the slowest clients are disconnected in any case
 */
public record SendQueueLimits(long connectionBytes, long softTotalBytes, long hardTotalBytes) {
    /** No bound, for listeners whose clients are trusted. */
    public static final SendQueueLimits NONE = new SendQueueLimits(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    /** A quarter of the heap; requests, connections to targets and garbage need the rest. */
    private static final long HEAP_PER_HARD_TOTAL = 4;

    /** Half of the hard bound, so that clients that still read are the last to be disconnected. */
    private static final long HEAP_PER_SOFT_TOTAL = 8;

    /** An eighth of the soft bound, so that several clients that stopped reading at once do not exceed it. */
    private static final long HEAP_PER_CONNECTION = 64;

    /** Returns the bounds for a process with the given maximum heap, not null. */
    public static SendQueueLimits forHeap(long heapBytes) {
        return new SendQueueLimits(
                heapBytes / HEAP_PER_CONNECTION, heapBytes / HEAP_PER_SOFT_TOTAL, heapBytes / HEAP_PER_HARD_TOTAL);
    }
}

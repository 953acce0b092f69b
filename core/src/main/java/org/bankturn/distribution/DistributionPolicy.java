package org.bankturn.distribution;

/** What a burst of a model prefers. */
public enum DistributionPolicy {
    /** Least time until N boxes serve: each chunk may be drawn from the origin by several boxes. */
    TIME_TO_REPLICAS {
        @Override
        public int maxCopiesPerChunk() {
            return 3;
        }
    },
    /** Least bytes from the origin: each chunk is drawn once, and again only if every holder was lost. */
    ORIGIN_BYTES {
        @Override
        public int maxCopiesPerChunk() {
            return 1;
        }
    };

    /** The origin's link carries about this many copies in the time wanted; no policy and no repair goes beyond. */
    public static final int MAXIMUM_ORIGIN_COPIES = 4;

    /** Returns how many boxes may draw the same chunk from the origin when nothing fails. */
    public abstract int maxCopiesPerChunk();
}

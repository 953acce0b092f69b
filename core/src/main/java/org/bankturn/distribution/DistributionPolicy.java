package org.bankturn.distribution;

/** The optimization goal of a model's distribution. */
public enum DistributionPolicy {
    /** Minimizes the time until enough boxes serve: several boxes may fetch the same chunk from the origin. */
    TIME_TO_REPLICAS {
        @Override
        public int maxCopiesPerChunk() {
            return 3;
        }
    },
    /** Minimizes origin traffic: each chunk is fetched once, and again only if it was lost. */
    ORIGIN_BYTES {
        @Override
        public int maxCopiesPerChunk() {
            return 1;
        }
    };

    /** The limit of copies fetched from the origin, including repeated fetches of lost chunks. */
    public static final int MAXIMUM_ORIGIN_COPIES = 4;

    /** Returns the number of boxes that may fetch the same chunk from the origin if no fetch fails. */
    public abstract int maxCopiesPerChunk();
}

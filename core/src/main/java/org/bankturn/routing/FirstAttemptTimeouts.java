package org.bankturn.routing;

import java.util.Arrays;

/**
 * The timeouts of recent first attempts, relative to the longest timeout of their route.
 *
 * <p>FirstAttemptTimeouts is mutable and not thread-safe.
 */
final class FirstAttemptTimeouts {
    private static final int WINDOW = 128;

    /** The number of observations below which nothing is known. */
    private static final int MIN_OBSERVATIONS = 24;

    /** The share of first attempts that may have a shorter timeout, such as retries that another gateway caused. */
    private static final double OUTLIER_SHARE = 0.1;

    private final double[] shares = new double[WINDOW];
    private int observations;
    private double shortest = 1;

    static FirstAttemptTimeouts none() {
        return new FirstAttemptTimeouts();
    }

    private FirstAttemptTimeouts() {}

    /** Records the timeout of a first attempt as a share of the longest one, 0 to 1. */
    void record(double share) {
        shares[observations % WINDOW] = share;
        observations++;
        int count = Math.min(observations, WINDOW);
        double[] sorted = Arrays.copyOf(shares, count);
        Arrays.sort(sorted);
        shortest = sorted[(int) (count * OUTLIER_SHARE)];
    }

    /** Returns true if enough timeouts were observed. */
    boolean isKnown() {
        return observations >= MIN_OBSERVATIONS;
    }

    /** Returns the shortest usual timeout as a share of the longest one. */
    double shortestShare() {
        return shortest;
    }
}

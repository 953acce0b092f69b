package org.bankturn.routing;

import java.util.Arrays;

/**
 * Tells which prompt sizes of a route are admitted much less often than the route as a whole.
 *
 * <p>Load pattern: more requests than engines can serve, with prompts of very different lengths. The time to process
 * its own prompt is part of a request's start delay, so one limit on the delay rejects the longest prompts first, and
 * again when their callers retry. The decisions on recent first attempts show whether that happens.
 *
 * <p>SizeFairness is mutable and not thread-safe.
 */
final class SizeFairness {
    /** The number of recent decisions that are compared; the largest tenth is about 20 of them. */
    private static final int WINDOW = 200;

    private static final double LARGEST_SHARE = 0.1;
    private static final double NEXT_SHARE = 0.2;

    /** The admitted share of a size class below which it is underserved, relative to the route as a whole. */
    private static final double MIN_RELATIVE_SHARE = 0.58;

    /** A prompt size that no request reaches. */
    private static final int UNREACHED = Integer.MAX_VALUE;

    private final int[] promptTokens = new int[WINDOW];
    private final boolean[] admitted = new boolean[WINDOW];
    private int decisions;

    /** The smallest prompts of the largest tenth and of the fifth below it. */
    private int largestTenth = UNREACHED;

    private int nextFifth = UNREACHED;

    static SizeFairness none() {
        return new SizeFairness();
    }

    private SizeFairness() {}

    /** Records the admission decision on a first attempt. */
    void recordDecision(int tokens, boolean wasAdmitted) {
        int index = decisions % WINDOW;
        promptTokens[index] = tokens;
        admitted[index] = wasAdmitted;
        decisions++;
        int[] sorted = Arrays.copyOf(promptTokens, size());
        Arrays.sort(sorted);
        largestTenth = smallestOfLargest(sorted, LARGEST_SHARE);
        nextFifth = smallestOfLargest(sorted, LARGEST_SHARE + NEXT_SHARE);
    }

    private static int smallestOfLargest(int[] sorted, double share) {
        return sorted[sorted.length - (int) Math.max(1, Math.round(sorted.length * share))];
    }

    /** Returns the number of tokens by which a prompt exceeds the mean, 0 if it does not. */
    double tokensAboveMean(int tokens) {
        double mean = Arrays.stream(promptTokens, 0, size()).average().orElse(tokens);
        return Math.max(0, tokens - mean);
    }

    /** Returns true if a prompt belongs to a size class that another rejection would leave underserved. */
    boolean isUnderserved(int tokens) {
        if (tokens >= largestTenth) {
            return isUnderserved(largestTenth, UNREACHED);
        }
        return tokens >= nextFifth && isUnderserved(nextFifth, largestTenth);
    }

    /** Returns true if another rejection would leave any size class underserved. */
    boolean isAnyUnderserved() {
        return isUnderserved(largestTenth, UNREACHED) || isUnderserved(nextFifth, largestTenth);
    }

    private boolean isUnderserved(int from, int below) {
        if (from >= below) {
            return false;
        }
        int allAdmitted = 0;
        int classSize = 1;
        int classAdmitted = 0;
        for (int index = 0; index < size(); index++) {
            boolean inClass = promptTokens[index] >= from && promptTokens[index] < below;
            classSize += inClass ? 1 : 0;
            if (admitted[index]) {
                allAdmitted++;
                classAdmitted += inClass ? 1 : 0;
            }
        }
        return (double) classAdmitted * size() < MIN_RELATIVE_SHARE * allAdmitted * classSize;
    }

    private int size() {
        return Math.min(decisions, WINDOW);
    }
}

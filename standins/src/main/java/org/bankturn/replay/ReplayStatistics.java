package org.bankturn.replay;

import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts what became of the requests of a replay.
 *
 * <p>ReplayStatistics is mutable and not thread-safe.
 */
final class ReplayStatistics {
    private static final int DIGITS = 3;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Histogram firstEvents = new Histogram(DIGITS);
    private final TreeMap<Integer, int[]> bySecond = new TreeMap<>();
    private int requests;
    private int inTime;
    private int late;
    private int refused;
    private int lostAfterRetry;
    private int sends;
    private int engineRejections;
    private int interrupted;
    private int loadPolls;
    private long repeatedPromptTokens;
    private int engineCrashes;
    private int falselyCondemned;

    /** A request was made for the first time. */
    void requestCreated() {
        requests++;
    }

    /** A request got its whole answer, in time or late, counted in the second in which it was made. */
    void answered(double madeMillis, boolean wasInTime, double firstEventMillis) {
        inTime += wasInTime ? 1 : 0;
        late += wasInTime ? 0 : 1;
        firstEvents.recordValue((long) firstEventMillis);
        int[] second = second(madeMillis);
        second[0]++;
        second[1] += wasInTime ? 1 : 0;
    }

    /** A request ended without an answer, perhaps after its caller had come back. */
    void lost(double madeMillis, boolean cameBack) {
        refused++;
        lostAfterRetry += cameBack ? 1 : 0;
        second(madeMillis)[0]++;
    }

    private int[] second(double millis) {
        return bySecond.computeIfAbsent((int) (millis / MILLIS_PER_SECOND), key -> new int[2]);
    }

    void sent() {
        sends++;
    }

    void rejected() {
        engineRejections++;
    }

    void interrupted(int promptTokens) {
        interrupted++;
        repeatedPromptTokens += promptTokens;
    }

    void engineCrashes(int engines) {
        engineCrashes = engines;
    }

    /** A request that ends no engine was taken for one that does. */
    void falselyCondemned() {
        falselyCondemned++;
    }

    void loadPolled() {
        loadPolls++;
    }

    /** Returns the figures, not null. */
    ReplayResult result(double busyShare) {
        double worstSecond = bySecond.values().stream()
                .filter(second -> second[0] > 0)
                .mapToDouble(second -> (double) second[1] / second[0])
                .min()
                .orElse(0);
        return new ReplayResult(
                requests,
                share(inTime),
                share(late),
                share(refused),
                share(lostAfterRetry),
                worstSecond,
                firstEvents.getValueAtPercentile(50),
                firstEvents.getValueAtPercentile(99),
                (double) engineRejections / Math.max(1, sends),
                (double) interrupted / Math.max(1, sends),
                repeatedPromptTokens,
                (double) loadPolls / Math.max(1, requests),
                busyShare,
                engineCrashes,
                falselyCondemned);
    }

    private double share(int count) {
        return (double) count / Math.max(1, requests);
    }
}

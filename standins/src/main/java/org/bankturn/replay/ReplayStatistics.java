package org.bankturn.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Collects the metrics of a replay.
 *
 * <p>ReplayStatistics is mutable and not thread-safe.
 */
final class ReplayStatistics {
    private static final int DIGITS = 3;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Histogram firstEvents = new Histogram(DIGITS);
    private final TreeMap<Integer, int[]> bySecond = new TreeMap<>();
    private final TreeMap<String, List<ServedBySize.Outcome>> outcomes = new TreeMap<>();
    private final TreeMap<String, GroupOutcome> byKind = new TreeMap<>();
    private final TreeMap<String, GroupOutcome> byAccount = new TreeMap<>();
    private int requests;
    private int inTime;
    private int late;
    private int lost;
    private int lostAfterRetry;
    private int sends;
    private int engineRejections;
    private int interrupted;
    private int loadPolls;
    private long repeatedPromptTokens;
    private int engineCrashes;
    private int falselyCondemned;
    private int lateCrashingRequests;

    /** Records the first attempt of a request. */
    void requestCreated() {
        requests++;
    }

    /** Records a complete answer, attributed to the second in which the request was created. */
    void answered(ReplayedCall call, boolean wasInTime, double firstEventMillis) {
        inTime += wasInTime ? 1 : 0;
        late += wasInTime ? 0 : 1;
        firstEvents.recordValue((long) firstEventMillis);
        int[] second = second(call.createdMillis());
        second[0]++;
        second[1] += wasInTime ? 1 : 0;
        recordOutcome(call, true, wasInTime ? 1 : ReplayResult.LATE_CREDIT);
    }

    /** Records a request that ended without an answer. */
    void lost(ReplayedCall call, boolean retried) {
        lost++;
        lostAfterRetry += retried ? 1 : 0;
        second(call.createdMillis())[0]++;
        recordOutcome(call, false, 0);
    }

    /** Records the end of a call with the credit that it earns in its kind. */
    void callEnded(ReplayedCall call, boolean wasRejected, boolean served, double credit) {
        String kind = call.kind().name();
        String account = call.account().name();
        double possible = call.kind().credit();
        byKind.put(kind, group(byKind, kind).with(wasRejected, served, credit, possible));
        byAccount.put(account, group(byAccount, account).with(wasRejected, served, credit, possible));
    }

    private static GroupOutcome group(Map<String, GroupOutcome> groups, String name) {
        return groups.computeIfAbsent(name, GroupOutcome::none);
    }

    private void recordOutcome(ReplayedCall call, boolean served, double credit) {
        outcomes.computeIfAbsent(call.kind().name(), key -> new ArrayList<>())
                .add(new ServedBySize.Outcome(call.promptTokens(), call.answerTokens(), served, credit));
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

    /** Records a request that crashes its engine and reached it although all gateways should have known it. */
    void lateCrashingRequest() {
        lateCrashingRequests++;
    }

    /** Records a harmless request that was rejected as a crashing one. */
    void falselyCondemned() {
        falselyCondemned++;
    }

    void loadPolled() {
        loadPolls++;
    }

    /** Returns the metrics, not null. */
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
                share(lost),
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
                falselyCondemned,
                lateCrashingRequests,
                outcomes.entrySet().stream()
                        .map(entry -> ServedBySize.of(entry.getKey(), entry.getValue()))
                        .toList(),
                List.copyOf(byKind.values()),
                List.copyOf(byAccount.values()));
    }

    private double share(int count) {
        return (double) count / Math.max(1, requests);
    }
}

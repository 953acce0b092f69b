package org.bankturn.replay;

import org.bankturn.crash.RequestFingerprint;

/**
 * A caller's request, from its first try to its end.
 *
 * <p>A caller that is refused comes back once, when it is told, but never later than after a third of the time left.
 * ReplayedCall is mutable and not thread-safe.
 */
final class ReplayedCall {
    private static final double MOST_WAIT_SHARE = 1.0 / 3;

    private final ReplaySimulation simulation;
    private final LoadPattern.Kind kind;
    private final String dataHall;
    private final int promptTokens;
    private final int answerTokens;
    private final double madeMillis;
    private boolean cameBack;
    private boolean over;
    private double firstEventMillis = -1;
    private double lastEventMillis;
    private boolean paused;
    private final RequestFingerprint fingerprint;

    ReplayedCall(
            ReplaySimulation simulation,
            LoadPattern.Kind kind,
            String dataHall,
            int promptTokens,
            int answerTokens,
            RequestFingerprint fingerprint) {
        this.fingerprint = fingerprint;
        this.simulation = simulation;
        this.kind = kind;
        this.dataHall = dataHall;
        this.promptTokens = promptTokens;
        this.answerTokens = answerTokens;
        this.madeMillis = simulation.time().now();
    }

    LoadPattern.Kind kind() {
        return kind;
    }

    int promptTokens() {
        return promptTokens;
    }

    int answerTokens() {
        return answerTokens;
    }

    /** Returns what it has in common with the same request that comes again, not null. */
    RequestFingerprint fingerprint() {
        return fingerprint;
    }

    boolean crashesEngine() {
        return fingerprint.equals(ReplaySimulation.CRASHING_REQUEST);
    }

    String dataHall() {
        return dataHall;
    }

    /** Returns when the caller gives up. */
    double expiryMillis() {
        return madeMillis + kind.deadlineMillis();
    }

    // ---- what the gateway tells

    void eventReceived() {
        double now = simulation.time().now();
        if (firstEventMillis < 0) {
            firstEventMillis = now;
        } else {
            paused |= now - lastEventMillis > kind.pauseMillis();
        }
        lastEventMillis = now;
    }

    void answered() {
        if (over) {
            return;
        }
        over = true;
        if (crashesEngine()) {
            return;
        }
        double tookMillis = firstEventMillis - madeMillis;
        simulation.statistics().answered(madeMillis, tookMillis <= kind.objectiveMillis() && !paused, tookMillis);
    }

    /** The request has not run; the caller may come back. */
    void rejected(double comeBackMillis) {
        if (over) {
            return;
        }
        double left = expiryMillis() - simulation.time().now();
        if (cameBack || left <= 0) {
            failed();
            return;
        }
        cameBack = true;
        simulation
                .time()
                .schedule(
                        Math.min(comeBackMillis, left * MOST_WAIT_SHARE),
                        () -> simulation.randomGateway(dataHall).handle(this));
    }

    void failed() {
        if (over) {
            return;
        }
        if (!cameBack
                && simulation.callersRetryFailures()
                && expiryMillis() > simulation.time().now()) {
            cameBack = true;
            simulation.randomGateway(dataHall).handle(this);
            return;
        }
        over = true;
        if (!crashesEngine()) {
            simulation.statistics().lost(madeMillis, cameBack);
        }
    }
}

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

    private final ReplayWorld world;
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
            ReplayWorld world,
            LoadPattern.Kind kind,
            String dataHall,
            int promptTokens,
            int answerTokens,
            RequestFingerprint fingerprint) {
        this.fingerprint = fingerprint;
        this.world = world;
        this.kind = kind;
        this.dataHall = dataHall;
        this.promptTokens = promptTokens;
        this.answerTokens = answerTokens;
        this.madeMillis = world.time().now();
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

    boolean isDeadly() {
        return fingerprint.equals(ReplayWorld.DEADLY);
    }

    String dataHall() {
        return dataHall;
    }

    /** Returns when the caller gives up. */
    double endMillis() {
        return madeMillis + kind.deadlineMillis();
    }

    // ---- what the gateway tells

    void event() {
        double now = world.time().now();
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
        if (isDeadly()) {
            return;
        }
        double tookMillis = firstEventMillis - madeMillis;
        world.tally().answered(madeMillis, tookMillis <= kind.objectiveMillis() && !paused, tookMillis);
    }

    /** The request has not run; the caller may come back. */
    void refused(double comeBackMillis) {
        if (over) {
            return;
        }
        double left = endMillis() - world.time().now();
        if (cameBack || left <= 0) {
            failed();
            return;
        }
        cameBack = true;
        world.time()
                .schedule(
                        Math.min(comeBackMillis, left * MOST_WAIT_SHARE),
                        () -> world.anyGateway(dataHall).take(this));
    }

    void failed() {
        if (over) {
            return;
        }
        if (!cameBack
                && world.callersRetryFailures()
                && endMillis() > world.time().now()) {
            cameBack = true;
            world.anyGateway(dataHall).take(this);
            return;
        }
        over = true;
        if (!isDeadly()) {
            world.tally().lost(madeMillis, cameBack);
        }
    }
}

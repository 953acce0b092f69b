package org.bankturn.replay;

import java.util.List;
import org.bankturn.crash.RequestFingerprint;

/**
 * A caller's request, including its retry.
 *
 * <p>A rejected caller retries once after the given delay, but no later than after a third of the remaining time.
 * ReplayedCall is mutable and not thread-safe.
 */
final class ReplayedCall {
    private static final double MAX_RETRY_DELAY_SHARE = 1.0 / 3;

    private final ReplaySimulation simulation;
    private final LoadPattern.Kind kind;
    private final LoadPattern.Account account;
    private final String dataHall;
    private final int promptTokens;
    private final int answerTokens;
    private final double createdMillis;
    private boolean retried;

    /** The time of the retry of a rejected request, negative if it was not rejected. */
    private double retryMillis = -1;

    private boolean finished;
    private double firstEventMillis = -1;
    private double lastEventMillis;
    private boolean pauseExceeded;
    private boolean rejectedAgain;
    private final RequestFingerprint fingerprint;
    private final List<String> promptParts;

    ReplayedCall(
            ReplaySimulation simulation,
            LoadPattern.Kind kind,
            LoadPattern.Account account,
            String dataHall,
            int promptTokens,
            int answerTokens,
            RequestFingerprint fingerprint,
            List<String> promptParts) {
        this.fingerprint = fingerprint;
        this.promptParts = List.copyOf(promptParts);
        this.simulation = simulation;
        this.kind = kind;
        this.account = account;
        this.dataHall = dataHall;
        this.promptTokens = promptTokens;
        this.answerTokens = answerTokens;
        this.createdMillis = simulation.time().now();
    }

    LoadPattern.Kind kind() {
        return kind;
    }

    LoadPattern.Account account() {
        return account;
    }

    int promptTokens() {
        return promptTokens;
    }

    int answerTokens() {
        return answerTokens;
    }

    /** Returns the fingerprint that identifies repetitions of this request, not null. */
    RequestFingerprint fingerprint() {
        return fingerprint;
    }

    /** Returns the ids of the shared parts of its prompt, not null. */
    List<String> promptParts() {
        return promptParts;
    }

    boolean crashesEngine() {
        return fingerprint.equals(ReplaySimulation.CRASHING_REQUEST)
                || promptParts.contains(PromptPartSource.CRASHING_PART);
    }

    String dataHall() {
        return dataHall;
    }

    /** Returns the time of the first attempt. */
    double createdMillis() {
        return createdMillis;
    }

    /** Returns the time at which the caller gives up. */
    double expiryMillis() {
        return createdMillis + kind.deadlineMillis();
    }

    // ---- callbacks of the gateway

    void eventReceived() {
        double now = simulation.time().now();
        if (firstEventMillis < 0) {
            firstEventMillis = now;
        } else {
            pauseExceeded |= now - lastEventMillis > kind.pauseMillis();
        }
        lastEventMillis = now;
    }

    void answered() {
        if (finished) {
            return;
        }
        finished = true;
        if (crashesEngine()) {
            return;
        }
        double tookMillis = firstEventMillis - createdMillis;
        simulation.statistics().answered(this, tookMillis <= kind.objectiveMillis() && !pauseExceeded, tookMillis);
        simulation.statistics().callEnded(this, retryMillis >= 0, true, answerCredit());
    }

    /** Returns the credit of an answer; one in time after a rejection earns the mean of both credits. */
    private double answerCredit() {
        double startMillis = retryMillis >= 0 ? retryMillis : createdMillis;
        if (pauseExceeded || firstEventMillis - startMillis > kind.objectiveMillis()) {
            return kind.lateCredit();
        }
        return retryMillis >= 0 ? (kind.credit() + kind.lateCredit()) / 2 : kind.credit();
    }

    /** Handles a request that was not run and may be retried. */
    void rejected(double retryAfterMillis) {
        if (finished) {
            return;
        }
        double left = expiryMillis() - simulation.time().now();
        if (retried || left <= 0) {
            rejectedAgain = retryMillis >= 0;
            failed();
            return;
        }
        retried = true;
        double delay = Math.min(retryAfterMillis, left * MAX_RETRY_DELAY_SHARE);
        retryMillis = simulation.time().now() + delay;
        simulation
                .time()
                .schedule(delay, () -> simulation.randomGateway(dataHall).handle(this));
    }

    void failed() {
        if (finished) {
            return;
        }
        if (!retried
                && simulation.callersRetryFailures()
                && expiryMillis() > simulation.time().now()) {
            retried = true;
            simulation.randomGateway(dataHall).handle(this);
            return;
        }
        finished = true;
        if (!crashesEngine()) {
            simulation.statistics().lost(this, retried);
            double credit = rejectedAgain ? -ReplayResult.FAILED_RETRY_PENALTY * kind.credit() : 0;
            simulation.statistics().callEnded(this, retryMillis >= 0, false, credit);
        }
    }
}

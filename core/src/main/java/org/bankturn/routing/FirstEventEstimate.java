package org.bankturn.routing;

import org.bankturn.service.EngineModel;

/**
 * Predicts how long a request waits for its first event at a batching engine.
 *
 * <p>A request waits for a place, then for the prompts before it and its own to be read, between the token steps of those
 * that write. FirstEventEstimate is immutable and thread-safe.
 */
public final class FirstEventEstimate {
    private static final double STEPS_UNTIL_READ = 0.5;

    private final EngineModel engine;

    /** Returns the estimate for engines of one kind, not null. */
    public static FirstEventEstimate of(EngineModel engine) {
        return new FirstEventEstimate(engine);
    }

    private FirstEventEstimate(EngineModel engine) {
        this.engine = engine;
    }

    /**
     * Returns the predicted wait.
     *
     * @param load what the engine said last, not null
     * @param sentSince requests sent to it since then, less those that have ended since then
     * @param pendingPromptTokens prompt tokens sent to it whose first event has not come
     * @param promptTokens the request's own prompt
     * @return milliseconds
     */
    public double millis(EngineLoad load, int sentSince, long pendingPromptTokens, int promptTokens) {
        int ahead = Math.max(0, load.active() + load.queued() + sentSince);
        double queueing = Math.max(0, ahead + 1 - engine.slots()) * slotReleaseMillis();
        double prefill = (pendingPromptTokens + promptTokens) / engine.promptTokensPerMillisecond();
        double decode = Math.min(ahead, engine.slots()) * engine.stepMillis() * STEPS_UNTIL_READ
                + engine.stepsPerPass() * engine.stepMillis() * (ahead > 0 ? 1 : 0);
        return Math.max(1, load.pace()) * (queueing + prefill + decode);
    }

    /** Returns how long it takes until one of the engine's places becomes free, on average, while all are taken. */
    private double slotReleaseMillis() {
        return engine.meanAnswerMillis() / engine.slots();
    }
}

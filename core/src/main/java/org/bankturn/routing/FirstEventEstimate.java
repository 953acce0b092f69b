package org.bankturn.routing;

import org.bankturn.service.EngineModel;

/**
 * Predicts the time to the first event at a batching engine.
 *
 * <p>A request waits for a slot, then for the prompts ahead of it and its own prompt to be processed, interleaved with
 * the token steps of running requests. FirstEventEstimate is immutable and thread-safe.
 */
public final class FirstEventEstimate {
    private static final double STEPS_UNTIL_READ = 0.5;

    private final EngineModel engine;

    /** Returns the estimate for an engine model, not null. */
    public static FirstEventEstimate of(EngineModel engine) {
        return new FirstEventEstimate(engine);
    }

    private FirstEventEstimate(EngineModel engine) {
        this.engine = engine;
    }

    /**
     * Returns the predicted time to the first event.
     *
     * @param load the last load report, not null
     * @param sentSince the requests sent since the report, less those that ended since
     * @param pendingPromptTokens the prompt tokens of requests whose first event is outstanding
     * @param promptTokens the size of the request's prompt
     * @return the time in milliseconds
     */
    public double millis(EngineLoad load, int sentSince, long pendingPromptTokens, int promptTokens) {
        int ahead = Math.max(0, load.active() + load.queued() + sentSince);
        double queueing = Math.max(0, ahead + 1 - engine.slots()) * slotReleaseMillis();
        double prefill = promptMillis((double) pendingPromptTokens + promptTokens);
        double decode = Math.min(ahead, engine.slots()) * engine.stepMillis() * STEPS_UNTIL_READ
                + engine.stepsPerPass() * engine.stepMillis() * (ahead > 0 ? 1 : 0);
        return Math.max(1, load.pace()) * (queueing + prefill + decode);
    }

    /** Returns the nominal time to process a number of prompt tokens, in milliseconds. */
    double promptMillis(double promptTokens) {
        return promptTokens / engine.promptTokensPerMillisecond();
    }

    /** Returns the mean time until a slot is released while all are in use. */
    private double slotReleaseMillis() {
        return engine.meanAnswerMillis() / engine.slots();
    }
}

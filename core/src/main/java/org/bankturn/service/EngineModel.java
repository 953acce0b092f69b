package org.bankturn.service;

/**
 * How fast the engines of a service work.
 *
 * @param slots requests that run at once
 * @param tokenCapacity tokens that fit in memory
 * @param stepMillis the time of one token step
 * @param stepMillisPerRequest what each running request adds to a step
 * @param stepMillisPerThousandTokens what a thousand tokens of context add to a step
 * @param promptTokensPerMillisecond how fast prompts are read
 * @param promptTokensPerStep the most that is read in a step
 * @param stepsPerPass token steps between readings while requests write
 * @param usualAnswerTokens the mean length of an answer
 */
public record EngineModel(
        int slots,
        long tokenCapacity,
        double stepMillis,
        double stepMillisPerRequest,
        double stepMillisPerThousandTokens,
        double promptTokensPerMillisecond,
        int promptTokensPerStep,
        int stepsPerPass,
        int usualAnswerTokens) {
    /** Prompts that are read between token steps make an answer take about that much longer on a busy engine. */
    private static final double SLOWER_WHILE_READING = 1.5;

    /** Returns how long an answer of the usual length takes an engine whose places are all taken, in milliseconds. */
    public double meanAnswerMillis() {
        double step = stepMillis + slots * stepMillisPerRequest;
        return usualAnswerTokens * step * SLOWER_WHILE_READING;
    }
}

package org.bankturn.service;

/**
 * A performance model of the inference engines of a service.
 *
 * @param slots the maximum number of concurrent requests
 * @param tokenCapacity the number of tokens that fit into the KV cache
 * @param stepMillis the base duration of a decoding step
 * @param stepMillisPerRequest the additional step duration per running request
 * @param stepMillisPerThousandTokens the additional step duration per thousand tokens of context
 * @param promptTokensPerMillisecond the prompt processing rate
 * @param promptTokensPerStep the maximum number of prompt tokens processed in a step
 * @param stepsPerPass the decoding steps between two prompt processing steps while requests are generating
 * @param usualAnswerTokens the mean length of a response in tokens
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
    /** The factor by which interleaved prompt processing slows down decoding on a busy engine. */
    private static final double PREFILL_SLOWDOWN = 1.5;

    /** Returns the duration of a response of mean length on a fully loaded engine, in milliseconds. */
    public double meanAnswerMillis() {
        double step = stepMillis + slots * stepMillisPerRequest;
        return usualAnswerTokens * step * PREFILL_SLOWDOWN;
    }
}

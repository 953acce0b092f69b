package org.bankturn.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.service.EngineModel;

/**
 * Computes the retry delays that rejected callers are given.
 *
 * <p>Load pattern: many callers are rejected within a second because engines are full or gone. Retries that arrive at
 * once or together are rejected again, so the delay covers the time until running requests end and is jittered.
 *
 * <p>RetryAfter has no state.
 */
public final class RetryAfter {
    /** The delay before a retry that may reach another gateway on a new connection. */
    public static final long OTHER_GATEWAY_MILLIS = 300;

    /** The delay after all eligible targets were tried, when full or failed ones may be available again. */
    public static final long ALL_TARGETS_TRIED_MILLIS = 1_000;

    /** The delay while targets are still starting or loading weights. */
    public static final long NO_TARGET_MILLIS = 5_000;

    /** The delay for a request that terminates its targets. */
    public static final long CONDEMNED_MILLIS = 60_000;

    /** The minimum delay, as a share of the usual answer time. */
    private static final double MIN_ANSWER_SHARE = 0.75;

    /** The maximum jitter, as a share of the usual answer time; the mean delay is about one answer time. */
    private static final double JITTER_SHARE = 0.75;

    /** The maximum jitter for held-back targets, as a share of the time until release. */
    private static final double HELD_BACK_JITTER_SHARE = 0.5;

    private RetryAfter() {}

    /** Returns the jittered delay until a held-back target accepts requests again. */
    public static long forHeldBackTargets(long releaseMillis, UniformRandomProvider random) {
        double share = 1 + HELD_BACK_JITTER_SHARE * random.nextDouble();
        return Math.max(OTHER_GATEWAY_MILLIS, Math.round(releaseMillis * share));
    }

    /** Returns the jittered delay until running requests at full engines have ended. */
    public static long forBusyEngines(EngineModel engine, UniformRandomProvider random) {
        double share = MIN_ANSWER_SHARE + JITTER_SHARE * random.nextDouble();
        return Math.max(OTHER_GATEWAY_MILLIS, Math.round(engine.meanAnswerMillis() * share));
    }
}

package org.bankturn.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.service.EngineModel;

/**
 * Says when a caller whose request was refused should come back.
 *
 * <p>Load pattern: many callers are refused within a second, because engines are full or all are gone. If they come back at
 * once, or all at the same moment, they are refused again and take the places of others; so each is told when answers that
 * are under way now will have ended, and a share of that at random.
 *
 * <p>ComeBack has no state.
 */
public final class RetryAfter {
    /** Another gateway takes a connection that is made anew, within the time of a connection and a request. */
    public static final long OTHER_GATEWAY_MILLIS = 300;

    /** Every target that may take it was tried; those that were full or failed are tried again about a second later. */
    public static final long ALL_TARGETS_TRIED_MILLIS = 1_000;

    /** Targets that must still be given weights, or that are still to start, are not there within a second or two. */
    public static final long NO_TARGET_MILLIS = 5_000;

    /** A request that ends its targets is as bad a minute later; callers that wait less come back in vain. */
    public static final long CONDEMNED_MILLIS = 60_000;

    /** Callers come back within this share of an answer's time ... */
    private static final double MIN_ANSWER_SHARE = 0.75;

    /** ... and that much more, at random; with the share above, one answer's time later on average. */
    private static final double JITTER_SHARE = 0.75;

    /** Callers come back up to that share later than targets that are held back take requests again. */
    private static final double HELD_BACK_JITTER_SHARE = 0.5;

    private RetryAfter() {}

    /** Returns when a target that is held back now takes requests again, spread so that callers come back apart. */
    public static long forHeldBackTargets(long releaseMillis, UniformRandomProvider random) {
        double share = 1 + HELD_BACK_JITTER_SHARE * random.nextDouble();
        return Math.max(OTHER_GATEWAY_MILLIS, Math.round(releaseMillis * share));
    }

    /** Returns when the answers under way at full engines will have ended, spread so that callers come back apart. */
    public static long forBusyEngines(EngineModel engine, UniformRandomProvider random) {
        double share = MIN_ANSWER_SHARE + JITTER_SHARE * random.nextDouble();
        return Math.max(OTHER_GATEWAY_MILLIS, Math.round(engine.meanAnswerMillis() * share));
    }
}

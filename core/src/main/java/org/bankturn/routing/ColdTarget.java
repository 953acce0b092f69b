package org.bankturn.routing;

import org.bankturn.registry.TargetSighting;
import org.bankturn.service.SlowStart;

/**
 * For how long one target incarnation is cold, and when this gateway may send it the next request meanwhile.
 *
 * <p>A cold time counts from when the gateway learned of it, which is later than it began and therefore safe. Targets of
 * services without a slow start are never cold. ColdTarget is mutable and not thread-safe.
 */
final class ColdTarget {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final SlowStarts slowStarts;
    private TargetSighting sighting;
    private long reportedUntilMillis = NEVER;
    private long assumedUntilMillis = NEVER;
    private long lastSentMillis = NEVER;

    ColdTarget(SlowStarts slowStarts) {
        this.slowStarts = slowStarts;
    }

    // ---- queries

    private SlowStart slowStart() {
        return sighting == null ? SlowStart.NONE : slowStarts.slowStart(sighting.service());
    }

    private long untilWarmMillis(long nowMillis) {
        return Math.max(0, Math.max(reportedUntilMillis, assumedUntilMillis) - nowMillis);
    }

    /** Returns the time until this gateway may send a request, 0 if it may now. */
    long untilReleaseMillis(long nowMillis) {
        long untilWarm = untilWarmMillis(nowMillis);
        SlowStart slowStart = slowStart();
        if (untilWarm == 0 || !slowStart.isLimited()) {
            return 0;
        }
        SlowStartShare share = SlowStartShare.of(slowStart);
        long untilSpaced = Math.max(0, lastSentMillis + share.intervalMillis() - nowMillis);
        return Math.min(untilWarm, Math.max(untilSpaced, slowStarts.untilPermittedMillis(sighting, share, nowMillis)));
    }

    /** Returns true if the target was cold, so that the state is worth keeping while it is not listed. */
    boolean wasCold() {
        return reportedUntilMillis > NEVER || assumedUntilMillis > NEVER;
    }

    // ---- updates

    /** Applies the registration of the target; an unchanged one does not start the cold time again. */
    void registered(TargetSighting newer) {
        if (newer.equals(sighting)) {
            return;
        }
        sighting = newer;
        long now = slowStarts.nowMillis();
        boolean rises = now + newer.coldMillis() > reportedUntilMillis;
        reportedUntilMillis = newer.coldMillis() > 0 ? now + newer.coldMillis() : NEVER;
        if (newer.coldMillis() > 0 && rises && slowStart().isLimited()) {
            slowStarts.becameCold(newer, ColdCause.REPORTED, newer.coldMillis());
        }
    }

    /** Treats the target as one that has just started. */
    void assumeCold(ColdCause cause) {
        SlowStart slowStart = slowStart();
        if (slowStart.isLimited() && slowStart.durationMillis() > 0) {
            assumedUntilMillis = slowStarts.nowMillis() + slowStart.durationMillis();
            slowStarts.becameCold(sighting, cause, slowStart.durationMillis());
        }
    }

    /** Records that a request is sent, whether the target is cold or not: the next one is spaced from it. */
    void requestSent(long nowMillis) {
        lastSentMillis = nowMillis;
    }
}

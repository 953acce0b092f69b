package org.bankturn.routing;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * What one start of a target asks of this gateway, as told by its answers, and the permit that the gateway holds for it.
 *
 * <p>A limit holds for as long as answers name it, so it ends with an answer that names none, to a request that was sent
 * after the limit was last heard of: answers on different connections may pass each other. While it holds, each request
 * needs a permit, and one is held at a time. A new start of the target has asked for nothing. TargetTerms is mutable and not
 * thread-safe.
 */
final class TargetFlowControl {
    /** A target that asks for a longer wait is tried again then: the number may be an error. */
    static final long MAX_BACK_OFF_MILLIS = 3_600_000;

    /** A coordinator that does not answer may be starting again. */
    private static final long COORDINATOR_RETRY_MILLIS = 500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private RateLimit limit = RateLimit.none(NEVER);
    private long backOffUntilMillis = NEVER;
    private boolean leaving;
    private long permitFromMillis = NEVER;
    private long permitUntilMillis = NEVER;
    private boolean permitPending;
    private long nextPermitRequestMillis = NEVER;

    // ---- queries

    /** Returns what is known of the requests that it takes, not null. */
    RateLimit limit() {
        return limit;
    }

    /** Returns why the target must get nothing now, empty if it may get a request, not null. */
    Optional<HoldReason> heldBack(long nowMillis) {
        if (leaving) {
            return Optional.of(HoldReason.LEAVING);
        }
        if (nowMillis < backOffUntilMillis) {
            return Optional.of(HoldReason.BACKING_OFF);
        }
        return limit.inForce() && !hasPermit(nowMillis) ? Optional.of(HoldReason.RATE_LIMITED) : Optional.empty();
    }

    /** Returns how long until the target may get a request, as far as is known; Long.MAX_VALUE for never. */
    long untilReleaseMillis(long nowMillis) {
        if (leaving) {
            return Long.MAX_VALUE;
        }
        long backOff = Math.max(0, backOffUntilMillis - nowMillis);
        return limit.inForce() ? Math.max(backOff, untilPermitMillis(nowMillis)) : backOff;
    }

    /** Returns how long until the permit that is held may be used, 0 if none is held. */
    long untilPermitUsableMillis(long nowMillis) {
        return permitUntilMillis > nowMillis ? Math.max(0, permitFromMillis - nowMillis) : 0;
    }

    private long untilPermitMillis(long nowMillis) {
        if (permitUntilMillis > nowMillis) {
            return untilPermitUsableMillis(nowMillis);
        }
        return Math.max(0, nextPermitRequestMillis - nowMillis) + Math.round(limit.paceMillis());
    }

    /** Returns true if the target asked for something that may still hold. */
    boolean hasConstraints() {
        return leaving || limit.inForce() || backOffUntilMillis > NEVER;
    }

    /** Returns true if a permit should be asked for, because a request could use one. */
    boolean needsPermit(long nowMillis) {
        boolean acceptsRequests = !leaving && nowMillis >= backOffUntilMillis;
        return acceptsRequests
                && limit.inForce()
                && !permitPending
                && nowMillis >= nextPermitRequestMillis
                && nowMillis >= permitUntilMillis;
    }

    /** Returns true if a permit may be there within a time: one is held for later, or is being asked for. */
    boolean mayGetPermitWithin(long millis, long nowMillis) {
        boolean acceptsRequests = !leaving && nowMillis >= backOffUntilMillis;
        boolean isHeld = nowMillis < permitUntilMillis && permitFromMillis <= nowMillis + millis;
        return acceptsRequests && limit.inForce() && (isHeld || permitPending || needsPermit(nowMillis));
    }

    /** Returns true if a permit is being asked for. */
    boolean isPermitPending() {
        return permitPending;
    }

    private boolean hasPermit(long nowMillis) {
        return permitFromMillis <= nowMillis && nowMillis < permitUntilMillis;
    }

    // ---- what is learned

    /**
     * Takes in what an answer asks for.
     *
     * @param notice what it asks for, not null
     * @param executed true if the target ran the request, so that a limit would have been named
     * @param sentMillis when the request was sent
     * @param nowMillis the time
     * @return what is new in it, not null
     */
    Set<NoticeChange> applyNotice(TargetNotice notice, boolean executed, long sentMillis, long nowMillis) {
        Set<NoticeChange> changes = EnumSet.noneOf(NoticeChange.class);
        if (notice.requestsPerSecond().isPresent()) {
            updateLimit(RateLimit.named(notice.requestsPerSecond().getAsDouble(), nowMillis), changes);
        } else if (executed && limit.inForce() && sentMillis > limit.asOfMillis()) {
            updateLimit(RateLimit.none(sentMillis), changes);
        }
        if (notice.backOffMillis() > 0) {
            long until = nowMillis + Math.min(MAX_BACK_OFF_MILLIS, notice.backOffMillis());
            // answers pass each other, so that a shorter wait may have been asked for earlier
            backOffUntilMillis = Math.max(backOffUntilMillis, until);
            changes.add(NoticeChange.BACKS_OFF);
        }
        if (notice.leaving() && !leaving) {
            leaving = true;
            changes.add(NoticeChange.LEAVES);
        }
        return changes;
    }

    private void updateLimit(RateLimit newer, Set<NoticeChange> changes) {
        if (newer.inForce() && !limit.inForce()) {
            changes.add(NoticeChange.LIMIT_NAMED);
        } else if (newer.inForce() && newer.perSecond() != limit.perSecond()) {
            changes.add(NoticeChange.LIMIT_CHANGED);
        } else if (!newer.inForce()) {
            changes.add(NoticeChange.LIMIT_ENDED);
        }
        limit = newer;
    }

    /** A request is about to leave for the target; returns why it must not, or empty and uses the permit, if there is one. */
    Optional<HoldReason> acquire(long nowMillis) {
        Optional<HoldReason> reason = heldBack(nowMillis);
        if (reason.isEmpty()) {
            permitUntilMillis = NEVER;
        }
        return reason;
    }

    // ---- permits

    /** A permit is being asked for. */
    void permitRequested() {
        permitPending = true;
    }

    /**
     * Takes in what the coordinator answered.
     *
     * @param answer the answer, its limit as of this gateway's time, not null
     * @param requestedMillis when it was asked
     * @param nowMillis the time
     */
    void permitAnswered(PermitCoordinator.Answer answer, long requestedMillis, long nowMillis) {
        permitPending = false;
        limit = limit.newerOf(answer.limit());
        if (answer.granted()) {
            // reserved at a moment between the two: no sooner than that counted from now, no later than that from then
            permitFromMillis = nowMillis + answer.inMillis();
            permitUntilMillis = requestedMillis + answer.inMillis() + PermitCoordinator.PERMIT_VALIDITY_MILLIS;
        } else {
            nextPermitRequestMillis = nowMillis + answer.inMillis();
        }
    }

    /** The coordinator did not answer. */
    void permitUnanswered(long nowMillis) {
        permitPending = false;
        nextPermitRequestMillis = nowMillis + COORDINATOR_RETRY_MILLIS;
    }
}

package org.bankturn.routing;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * The flow control state of one target incarnation: its rate limit, back-off, shutdown, slow start and the permit held
 * for it.
 *
 * <p>A rate limit lasts while responses report it; a response without one ends it only if its request was sent after
 * the limit was last reported, because responses on different connections may overtake each other. While a limit is in
 * force, each request needs a permit, and one is held at a time. A new incarnation starts without constraints.
 * TargetFlowControl is mutable and not thread-safe.
 */
final class TargetFlowControl {
    /** The maximum back-off, which guards against erroneous values. */
    static final long MAX_BACK_OFF_MILLIS = 3_600_000;

    /** The delay before another permit request after the coordinator did not answer; it may be restarting. */
    private static final long COORDINATOR_RETRY_MILLIS = 500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final ColdTarget cold;
    private RateLimit limit = RateLimit.none(NEVER);
    private long backOffUntilMillis = NEVER;
    private boolean leaving;
    private long permitFromMillis = NEVER;
    private long permitUntilMillis = NEVER;
    private boolean permitPending;
    private long nextPermitRequestMillis = NEVER;

    /** Creates the state of a target that never counts as cold. */
    TargetFlowControl() {
        this(new ColdTarget(new SlowStarts(() -> 0)));
    }

    TargetFlowControl(ColdTarget cold) {
        this.cold = cold;
    }

    // ---- queries

    /** Returns the state of the target's slow start, not null. */
    ColdTarget cold() {
        return cold;
    }

    /** Returns the rate limit, not null. */
    RateLimit limit() {
        return limit;
    }

    /** Returns the reason why the target is held back, empty if it is not, not null. */
    Optional<HoldReason> heldBack(long nowMillis) {
        if (leaving) {
            return Optional.of(HoldReason.LEAVING);
        }
        if (nowMillis < backOffUntilMillis) {
            return Optional.of(HoldReason.BACKING_OFF);
        }
        if (cold.untilReleaseMillis(nowMillis) > 0) {
            return Optional.of(HoldReason.COLD);
        }
        return limit.inForce() && !hasPermit(nowMillis) ? Optional.of(HoldReason.RATE_LIMITED) : Optional.empty();
    }

    /** Returns the time until the target is released, as far as known; Long.MAX_VALUE for never. */
    long untilReleaseMillis(long nowMillis) {
        if (leaving) {
            return Long.MAX_VALUE;
        }
        long until = Math.max(Math.max(0, backOffUntilMillis - nowMillis), cold.untilReleaseMillis(nowMillis));
        return limit.inForce() ? Math.max(until, untilPermitMillis(nowMillis)) : until;
    }

    /** Returns the time until the held permit becomes valid, 0 if none is held. */
    long untilPermitUsableMillis(long nowMillis) {
        return permitUntilMillis > nowMillis ? Math.max(0, permitFromMillis - nowMillis) : 0;
    }

    private long untilPermitMillis(long nowMillis) {
        if (permitUntilMillis > nowMillis) {
            return untilPermitUsableMillis(nowMillis);
        }
        return Math.max(0, nextPermitRequestMillis - nowMillis) + Math.round(limit.intervalMillis());
    }

    /** Returns true if there are constraints that may still be in force. */
    boolean hasConstraints() {
        return leaving || limit.inForce() || backOffUntilMillis > NEVER || cold.wasCold();
    }

    /** Returns true if a permit should be requested. */
    boolean needsPermit(long nowMillis) {
        boolean acceptsRequests =
                !leaving && nowMillis >= backOffUntilMillis && cold.untilReleaseMillis(nowMillis) == 0;
        return acceptsRequests
                && limit.inForce()
                && !permitPending
                && nowMillis >= nextPermitRequestMillis
                && nowMillis >= permitUntilMillis;
    }

    /** Returns true if a permit may become available within a time: one is held for later or pending. */
    boolean mayGetPermitWithin(long millis, long nowMillis) {
        boolean acceptsRequests =
                !leaving && nowMillis >= backOffUntilMillis && cold.untilReleaseMillis(nowMillis) == 0;
        boolean isHeld = nowMillis < permitUntilMillis && permitFromMillis <= nowMillis + millis;
        return acceptsRequests && limit.inForce() && (isHeld || permitPending || needsPermit(nowMillis));
    }

    /** Returns true if a permit request is pending. */
    boolean isPermitPending() {
        return permitPending;
    }

    private boolean hasPermit(long nowMillis) {
        return permitFromMillis <= nowMillis && nowMillis < permitUntilMillis;
    }

    // ---- updates

    /**
     * Applies the flow control information of a response.
     *
     * @param notice the information, not null
     * @param executed true if the target executed the request, so that it would have reported a limit
     * @param sentMillis when the request was sent
     * @param nowMillis the current time
     * @return the changes, not null
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
            // responses may overtake each other, so a shorter back-off must not replace a longer one
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

    /**
     * Acquires the right to send a request, using up a permit if one is needed; returns the reason if it must not be
     * sent.
     */
    Optional<HoldReason> acquire(long nowMillis) {
        Optional<HoldReason> reason = heldBack(nowMillis);
        if (reason.isEmpty()) {
            permitUntilMillis = NEVER;
            cold.requestSent(nowMillis);
        }
        return reason;
    }

    // ---- permits

    /** Records that a permit is requested. */
    void permitRequested() {
        permitPending = true;
    }

    /**
     * Applies the answer of the permit coordinator.
     *
     * @param answer the answer, its limit in this gateway's time, not null
     * @param requestedMillis when the permit was requested
     * @param nowMillis the current time
     */
    void permitAnswered(PermitCoordinator.Answer answer, long requestedMillis, long nowMillis) {
        permitPending = false;
        limit = limit.newerOf(answer.limit());
        if (answer.granted()) {
            // the reservation was made between the two times: starts relative to now, ends relative to the request
            permitFromMillis = nowMillis + answer.inMillis();
            permitUntilMillis = requestedMillis + answer.inMillis() + PermitCoordinator.PERMIT_VALIDITY_MILLIS;
        } else {
            nextPermitRequestMillis = nowMillis + answer.inMillis();
        }
    }

    /** Records that the coordinator did not answer. */
    void permitUnanswered(long nowMillis) {
        permitPending = false;
        nextPermitRequestMillis = nowMillis + COORDINATOR_RETRY_MILLIS;
    }
}

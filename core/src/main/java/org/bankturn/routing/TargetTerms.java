package org.bankturn.routing;

import java.util.EnumSet;
import java.util.Set;

/**
 * What one start of a target asks of this gateway, as told by its answers.
 *
 * <p>A limit holds for as long as answers name it, so it ends with an answer that names none, to a request that was sent
 * after the limit was last heard of: answers on different connections may pass each other. A new start of the target has
 * asked for nothing. TargetTerms is mutable and not thread-safe.
 */
final class TargetTerms {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private RateLimit limit = RateLimit.none(NEVER);
    private boolean leaving;

    // ---- queries

    /** Returns what is known of the requests that it takes, not null. */
    RateLimit limit() {
        return limit;
    }

    // ---- what is learned

    /**
     * Takes in what an answer asks for.
     *
     * @param notice what it asks for, not null
     * @param whole true if the target ran the request, so that a limit would have been named
     * @param sentMillis when the request was sent
     * @param nowMillis the time
     * @return what is new in it, not null
     */
    Set<NoticeChange> noticed(TargetNotice notice, boolean whole, long sentMillis, long nowMillis) {
        Set<NoticeChange> changes = EnumSet.noneOf(NoticeChange.class);
        if (notice.requestsPerSecond().isPresent()) {
            learn(RateLimit.named(notice.requestsPerSecond().getAsDouble(), nowMillis), changes);
        } else if (whole && limit.inForce() && sentMillis > limit.asOfMillis()) {
            learn(RateLimit.none(sentMillis), changes);
        }
        if (notice.backOffMillis() > 0) {
            changes.add(NoticeChange.BACKS_OFF);
        }
        if (notice.leaving() && !leaving) {
            leaving = true;
            changes.add(NoticeChange.LEAVES);
        }
        return changes;
    }

    private void learn(RateLimit newer, Set<NoticeChange> changes) {
        if (newer.inForce() && !limit.inForce()) {
            changes.add(NoticeChange.LIMIT_NAMED);
        } else if (newer.inForce() && newer.perSecond() != limit.perSecond()) {
            changes.add(NoticeChange.LIMIT_CHANGED);
        } else if (!newer.inForce()) {
            changes.add(NoticeChange.LIMIT_ENDED);
        }
        limit = newer;
    }
}

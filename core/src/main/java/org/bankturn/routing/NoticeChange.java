package org.bankturn.routing;

import java.util.Locale;

/** A change to a target's flow control that a response caused. */
public enum NoticeChange {
    /** The target announced a rate limit. */
    LIMIT_NAMED,
    /** The target changed its rate limit. */
    LIMIT_CHANGED,
    /** The target no longer has a rate limit. */
    LIMIT_ENDED,
    /** The target asked this gateway to back off. */
    BACKS_OFF,
    /** The target is shutting down. */
    LEAVES;

    /** Returns true if the change concerns the target's rate limit, which all gateways share. */
    public boolean affectsRateLimit() {
        return this == LIMIT_NAMED || this == LIMIT_CHANGED || this == LIMIT_ENDED;
    }

    /** Returns the name used in logs and metrics, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

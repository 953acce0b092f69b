package org.bankturn.routing;

import java.util.Locale;

/** What an answer changed in what is known of its target's wishes. */
public enum NoticeChange {
    /** The target named a limit, and there was none. */
    LIMIT_NAMED,
    /** The target named another limit. */
    LIMIT_CHANGED,
    /** The target names no limit any more. */
    LIMIT_ENDED,
    /** The target wants nothing from this gateway for a while. */
    BACKS_OFF,
    /** The target is about to end. */
    LEAVES;

    /** Returns true if it concerns the target's limit, which all gateways keep together. */
    public boolean isOfLimit() {
        return this == LIMIT_NAMED || this == LIMIT_CHANGED || this == LIMIT_ENDED;
    }

    /** Returns the name that stands in logs and metrics, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

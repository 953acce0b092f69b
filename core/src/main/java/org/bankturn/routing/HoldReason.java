package org.bankturn.routing;

import java.util.Locale;

/** Why a target must get no request from this gateway now. */
public enum HoldReason {
    /** It is about to end. */
    LEAVING,
    /** It turned this gateway away and asked it to wait. */
    BACKING_OFF,
    /** All gateways together may send it few requests, and this one holds no permit. */
    RATE_LIMITED;

    /** Returns the words that stand in logs and metrics, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

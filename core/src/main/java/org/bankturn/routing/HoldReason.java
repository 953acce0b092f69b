package org.bankturn.routing;

import java.util.Locale;

/** The reason why a target currently receives no requests from this gateway. */
public enum HoldReason {
    /** The target's data hall is evacuated. */
    EVACUATED,
    /** The target is shutting down. */
    LEAVING,
    /** The target asked this gateway to back off. */
    BACKING_OFF,
    /** The target started recently, and this gateway may not send to it yet or not again so soon. */
    COLD,
    /** The target limits its rate and this gateway holds no permit. */
    RATE_LIMITED;

    /** Returns the name used in logs and metrics, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

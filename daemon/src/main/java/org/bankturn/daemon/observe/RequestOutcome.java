package org.bankturn.daemon.observe;

import java.util.Locale;

/** How a caller's request ended, as its gateway counts it. */
public enum RequestOutcome {
    /** The target's answer was passed on whole. */
    ANSWERED,
    /** It was refused; it has not run and will not. */
    REFUSED,
    /** It failed, or its outcome is unknown. */
    FAILED,
    /** The caller left first. */
    CANCELLED,
    /** No configuration in force allows it. */
    DENIED;

    /** Returns the name that stands in the metrics, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package org.bankturn.daemon.observe;

import java.util.Locale;

/** The outcome of a request in the metrics of its gateway. */
public enum RequestOutcome {
    /** The target's response was forwarded completely. */
    ANSWERED,
    /** The request was rejected without being executed. */
    REFUSED,
    /** The request failed, or its outcome is unknown. */
    FAILED,
    /** The caller disconnected before the response was complete. */
    CANCELLED,
    /** The configuration in force does not permit the request. */
    DENIED;

    /** Returns the label of this outcome in the metrics, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

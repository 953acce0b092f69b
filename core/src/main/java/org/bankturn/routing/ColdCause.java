package org.bankturn.routing;

import java.util.Locale;

/** The reason why a target counts as cold. */
public enum ColdCause {
    /** The target reported it in a heartbeat. */
    REPORTED,
    /** The evacuation of its data hall ended. */
    RELEASED,
    /** It responded for the first time after repeated failures. */
    RETURNED;

    /** Returns the name used in logs and metrics, not null. */
    public String label() {
        return "cold_" + name().toLowerCase(Locale.ROOT);
    }
}

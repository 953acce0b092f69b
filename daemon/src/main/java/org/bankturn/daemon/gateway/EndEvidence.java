package org.bankturn.daemon.gateway;

import java.util.Locale;

/** What showed a gateway that a target has ended. */
enum EndEvidence {
    /** The address refused a connection for a request. */
    REFUSED,
    /** A check of the incarnation was refused, or answered by another one. */
    CHECKED,
    /** Another incarnation is published at the address. */
    REPLACED,
    /** The control group has published that the target crashed, as another gateway found. */
    REPORTED;

    /** Returns the name in logs and metrics, not null. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

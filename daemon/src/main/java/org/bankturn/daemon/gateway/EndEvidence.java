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
    /** The end was known when a further request was found to be interrupted there. */
    KNOWN;

    /** Returns the name in logs and metrics, not null. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

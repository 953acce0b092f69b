package org.bankturn.daemon.observe;

import java.util.Locale;

/** What a line of the decision log tells. */
public enum DecisionKind {
    /** The process started. */
    START,
    /** The process stops as planned. */
    STOP,
    /** Settings were taken up or refused. */
    RELOAD,
    /** A dependency was lost. */
    LOST,
    /** A dependency was regained. */
    REGAINED,
    /** A request got its target's whole answer; only one in some is written. */
    ANSWERED,
    /** An error was thrown that nothing handles: a fault of this program. */
    ERROR,
    /** A request was refused without having run. */
    REFUSED,
    /** A request failed, or its outcome is unknown. */
    FAILED,
    /** A request was sent to another target. */
    RETRIED,
    /** A stream was taken up at another target. */
    RESUMED,
    /** A caller left before its answer was whole. */
    CANCELLED,
    /** A newer publication is in force here. */
    PUBLISHED,
    /** A change was accepted or refused. */
    CHANGE,
    /** A target was recorded, is leaving or is gone. */
    TARGET,
    /** A target is avoided, or tried again. */
    HEALTH,
    /** A target asked its callers to send less, to wait or to stay away, or no longer does. */
    NOTICE,
    /** This control box leads, follows, joined or recovered. */
    GROUP,
    /** A target ended under a request, or a request is stopped for that. */
    SUSPECT,
    /** Weights were fetched, checked, staged or started. */
    WEIGHTS;

    /** Returns the name that stands in the log, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

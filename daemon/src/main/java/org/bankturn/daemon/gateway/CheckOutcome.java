package org.bankturn.daemon.gateway;

import java.util.Locale;

/** What a check of an incarnation at its address has shown. */
enum CheckOutcome {
    /** The incarnation answered a request that was sent after the check began: it lives. */
    ANSWERED,
    /** Another incarnation answered: the expected one has ended. */
    REPLACED,
    /** The address refused the connection: no process listens there. */
    REFUSED,
    /** No answer that identifies its sender arrived in time, or another start of the target may have sent it. */
    UNDECIDED;

    /** Returns true if the incarnation lives. */
    boolean showsLife() {
        return this == ANSWERED;
    }

    /** Returns true if the incarnation has ended. */
    boolean showsEnd() {
        return this == REPLACED || this == REFUSED;
    }

    /** Returns the outcome's name in logs and metrics, not null. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

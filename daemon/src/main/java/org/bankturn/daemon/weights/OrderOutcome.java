package org.bankturn.daemon.weights;

import java.util.Locale;

/** What is known about a start order to an engine. */
enum OrderOutcome {
    /** The staged weights were not verified, so no order was sent. */
    NOT_SENT,
    /** The engine has begun to load the weights, or holds them already. */
    ACCEPTED,
    /** The engine has answered that it does not execute the order. */
    REJECTED,
    /** The engine has not answered; it may still execute the order. */
    UNANSWERED;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the label in metrics, not null. */
    String label() {
        return label;
    }

    /** Returns the outcome of a call, from its failure or null if it succeeded. */
    static OrderOutcome of(Exception failure) {
        if (failure == null) {
            return ACCEPTED;
        }
        return failure instanceof HttpStatusException ? REJECTED : UNANSWERED;
    }
}

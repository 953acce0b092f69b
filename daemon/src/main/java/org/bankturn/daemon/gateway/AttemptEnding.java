package org.bankturn.daemon.gateway;

import java.util.Locale;
import org.bankturn.daemon.http.TransportFailure;

/** How an attempt at a request ended. */
enum AttemptEnding {
    /** The target sent a complete response. */
    ANSWERED(true),
    /** The target stated that it did not execute the request. */
    NOT_RUN(true),
    /** The target sent a complete response with a 5xx status. */
    ERROR_STATUS(true),
    /** The target stopped accepting requests before this one was sent. */
    HELD_BACK(false),
    /** A configuration change excluded the target before the request was sent. */
    DISALLOWED(false),
    /** The connection could not be established. */
    NOT_CONNECTED(false),
    /** The target reset the connection. */
    RESET(false),
    /** The target closed the connection before its response was complete. */
    CLOSED(false),
    /** The target sent bytes that are not a valid response. */
    MALFORMED(false),
    /** Another attempt delivered the next part of the response while this one was silent. */
    SUPERSEDED(false),
    /** The target had not started the request when newer weights became mandatory. */
    OUTDATED_WEIGHTS(false),
    /** The gateway ended the attempt while it was in progress. */
    CANCELLED(false);

    private final boolean responseComplete;

    AttemptEnding(boolean responseComplete) {
        this.responseComplete = responseComplete;
    }

    static AttemptEnding of(TransportFailure failure) {
        return switch (failure) {
            case NOT_CONNECTED -> NOT_CONNECTED;
            case RESET -> RESET;
            case CLOSED -> CLOSED;
            case MALFORMED -> MALFORMED;
        };
    }

    /** Returns true if the response was received completely, so that its connection can be used again. */
    boolean isResponseComplete() {
        return responseComplete;
    }

    /** Returns the name used in the log, not null. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

package org.bankturn.daemon.gateway;

import java.util.Locale;
import org.bankturn.crash.RunEnd;
import org.bankturn.daemon.http.TransportFailure;

/** How an attempt at a request ended. */
enum AttemptEnding {
    /** The target sent a complete response. */
    ANSWERED(true, RunEnd.COMPLETED),
    /** The target stated that it did not execute the request. */
    NOT_RUN(true, RunEnd.NOT_RUN),
    /** The target sent a complete response with a 5xx status. */
    ERROR_STATUS(true, RunEnd.FAILED),
    /** The target stopped accepting requests before this one was sent. */
    HELD_BACK(false, RunEnd.NOT_RUN),
    /** A configuration change excluded the target before the request was sent. */
    DISALLOWED(false, RunEnd.NOT_RUN),
    /** The connection could not be established. */
    NOT_CONNECTED(false, RunEnd.NOT_RUN),
    /** The target reset the connection. */
    RESET(false, RunEnd.UNKNOWN),
    /** The target closed the connection before its response was complete. */
    CLOSED(false, RunEnd.UNKNOWN),
    /** The target sent bytes that are not a valid response. */
    MALFORMED(false, RunEnd.UNKNOWN),
    /** The target sent more than the gateway buffers. */
    TOO_LARGE(false, RunEnd.UNKNOWN),
    /** Another attempt delivered the next part of the response while this one was silent. */
    SUPERSEDED(false, RunEnd.UNKNOWN),
    /** The target had not started the request when newer weights became mandatory. */
    OUTDATED_WEIGHTS(false, RunEnd.UNKNOWN),
    /** The gateway ended the attempt while it was in progress. */
    CANCELLED(false, RunEnd.UNKNOWN);

    private final boolean responseComplete;
    private final RunEnd runEnd;

    AttemptEnding(boolean responseComplete, RunEnd runEnd) {
        this.responseComplete = responseComplete;
        this.runEnd = runEnd;
    }

    static AttemptEnding of(TransportFailure failure) {
        return switch (failure) {
            case NOT_CONNECTED -> NOT_CONNECTED;
            case RESET -> RESET;
            case CLOSED -> CLOSED;
            case MALFORMED -> MALFORMED;
            case TOO_LARGE -> TOO_LARGE;
        };
    }

    /** Returns true if the response was received completely. */
    boolean isResponseComplete() {
        return responseComplete;
    }

    /**
     * Returns true if the connection can be used again. After a rejection or a failure the request may be sent again under
     * its id, and a late copy of the first response could be taken for the second one.
     */
    boolean allowsReuse() {
        return this == ANSWERED;
    }

    /** Returns what the ending tells about the run of the request at its target, not null. */
    RunEnd runEnd() {
        return runEnd;
    }

    /** Returns the name used in the log, not null. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

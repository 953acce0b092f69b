package org.bankturn.daemon.http;

/** Why a hop gave no whole answer. */
public enum TransportFailure {
    /** No connection could be made: the request did not leave. */
    NOT_CONNECTED(true),
    /** The other side reset the connection. */
    RESET(false),
    /** The other side ended the connection early. */
    CLOSED(false),
    /** What came back is no answer. */
    MALFORMED(false);

    private final boolean definitelyUnsent;

    TransportFailure(boolean surelyNotSent) {
        this.definitelyUnsent = surelyNotSent;
    }

    /** Returns true if no byte of the request left. */
    public boolean isDefinitelyUnsent() {
        return definitelyUnsent;
    }
}

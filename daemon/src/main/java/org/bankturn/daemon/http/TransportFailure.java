package org.bankturn.daemon.http;

/** The reason that a request got no complete response. */
public enum TransportFailure {
    /** The connection could not be established, so the request was not sent. */
    NOT_CONNECTED(true),
    /** The peer reset the connection. */
    RESET(false),
    /** The peer closed the connection before the response was complete. */
    CLOSED(false),
    /** The received bytes are not a valid response. */
    MALFORMED(false),
    /** The peer sent more than the listener accepts. */
    TOO_LARGE(false);

    private final boolean definitelyUnsent;

    TransportFailure(boolean surelyNotSent) {
        this.definitelyUnsent = surelyNotSent;
    }

    /** Returns true if no byte of the request was sent. */
    public boolean isDefinitelyUnsent() {
        return definitelyUnsent;
    }
}

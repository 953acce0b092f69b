package org.bankturn.daemon.http;

/** Thrown when received bytes are not a valid HTTP/1.1 message. */
public final class HttpFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message. */
    public HttpFormatException(String message) {
        super(message);
    }
}

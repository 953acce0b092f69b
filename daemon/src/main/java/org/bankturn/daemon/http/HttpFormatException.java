package org.bankturn.daemon.http;

/** Says that received bytes are not a message of HTTP/1.1. */
public final class HttpFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that says what is wrong. */
    public HttpFormatException(String message) {
        super(message);
    }
}

package org.bankturn.service;

/** Thrown when a configuration document cannot be parsed. */
public final class UnreadableDocumentException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that describes the error and its location. */
    public UnreadableDocumentException(String message) {
        super(message);
    }
}

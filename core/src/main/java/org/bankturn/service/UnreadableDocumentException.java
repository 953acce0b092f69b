package org.bankturn.service;

/** Says that a document cannot be read whole, and where. */
public final class UnreadableDocumentException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that says what is wrong and where. */
    public UnreadableDocumentException(String message) {
        super(message);
    }
}

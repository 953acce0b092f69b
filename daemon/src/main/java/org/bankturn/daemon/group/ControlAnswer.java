package org.bankturn.daemon.group;

/** What a control process answers. */
public sealed interface ControlAnswer {
    /** Done, and it lasts. */
    record Accepted() implements ControlAnswer {}

    /** The document in force. */
    record Document(byte[] document) implements ControlAnswer {}

    /** Refused for good. */
    record Refused(String reason) implements ControlAnswer {}

    /** No such call. */
    record NotFound() implements ControlAnswer {}

    /** Not now, or it is not known whether it was done; ask again, elsewhere first. */
    record Unavailable(String reason) implements ControlAnswer {}
}

package org.bankturn.daemon.group;

/** A response of a control process to an operator or a target. */
public sealed interface ControlAnswer {
    /** The change is committed. */
    record Accepted() implements ControlAnswer {}

    /** The current document. */
    record Document(byte[] document) implements ControlAnswer {}

    /** The request is invalid; repeating it has the same result. */
    record Refused(String reason) implements ControlAnswer {}

    /** The request matches no known call. */
    record NotFound() implements ControlAnswer {}

    /** The request failed or its outcome is unknown; it may be retried, preferably at another control process. */
    record Unavailable(String reason) implements ControlAnswer {}
}

package org.bankturn.crash;

/** What is known of a target some time after it sent a complete response. */
public enum CompletionVerdict {
    /** No sign of a crash followed the response: the request is harmless. */
    HARMLESS,
    /** The target closed connections at once and has not been checked yet. */
    UNDECIDED,
    /** The target crashed; the response does not show that the request is harmless. */
    CRASHED
}

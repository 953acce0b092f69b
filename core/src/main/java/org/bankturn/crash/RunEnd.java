package org.bankturn.crash;

/** What the end of an attempt tells about the run of its request at the target. */
public enum RunEnd {
    /** The target sent a complete response that reports no failure. */
    COMPLETED,
    /** The target sent a complete response that reports a failure, which may precede its crash. */
    FAILED,
    /** The connection was lost or given up: the target may run the request until its deadline. */
    UNKNOWN,
    /** The target stated that it does not run the request. */
    NOT_RUN
}

package org.bankturn.service;

/** The retry and streaming semantics of a route's requests. */
public enum RequestKind {
    /** May be executed more than once. */
    IDEMPOTENT(true, false),
    /** Must be executed at most once. */
    UNSAFE(false, false),
    /** Responds with an event stream and must be executed at most once. */
    STREAM(false, true),
    /** Responds with an event stream that another target can resume after the last complete event. */
    RESUMABLE_STREAM(true, true);

    private final boolean retryable;
    private final boolean stream;

    RequestKind(boolean retryable, boolean stream) {
        this.retryable = retryable;
        this.stream = stream;
    }

    /** Returns true if a request whose outcome is unknown may be sent to another target. */
    public boolean isRetryable() {
        return retryable;
    }

    /** Returns true if responses are event streams. */
    public boolean isStream() {
        return stream;
    }
}

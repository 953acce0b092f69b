package org.bankturn.service;

/** What a route's requests are, and so what may be repeated. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT(true, false),
    /** Runs at most once. */
    UNSAFE(false, false),
    /** Answers with events and runs at most once. */
    STREAM(false, true),
    /** Answers with events and may be taken up at another target after the last whole event. */
    RESUMABLE_STREAM(true, true);

    private final boolean repeatable;
    private final boolean stream;

    RequestKind(boolean repeatable, boolean stream) {
        this.repeatable = repeatable;
        this.stream = stream;
    }

    /** Returns true if a request whose outcome is unknown may be sent to another target. */
    public boolean isRetryable() {
        return repeatable;
    }

    /** Returns true if answers are series of events. */
    public boolean isStream() {
        return stream;
    }
}

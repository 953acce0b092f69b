package org.bankturn.daemon.observe;

import java.util.Locale;

/** The kinds of lines in the decision log. */
public enum DecisionKind {
    /** The process started. */
    START,
    /** The process began an orderly shutdown. */
    STOP,
    /** Settings were reloaded or rejected. */
    RELOAD,
    /** A dependency was lost. */
    LOST,
    /** A dependency was regained. */
    REGAINED,
    /** A request got a complete response; these lines are sampled. */
    ANSWERED,
    /** An unhandled error was thrown, which indicates a bug. */
    ERROR,
    /** A part of a request's metadata could not be read; the request is handled without it. */
    METADATA,
    /** A request was rejected without being executed. */
    REFUSED,
    /** A request failed, or its outcome is unknown. */
    FAILED,
    /** A response that had been started towards the caller was broken off. */
    BROKEN(DecisionKind.RARE_LINES_PER_SECOND),
    /** A request or a response was given up because it exceeds what may be buffered. */
    OVERSIZED,
    /** A silent target keeps its request, because no other one can take it over. */
    STALLED,
    /** A request was retried at another target. */
    RETRIED,
    /** A stream was resumed at another target. */
    RESUMED,
    /** A response was not accepted for the request that its connection carried. */
    FOREIGN,
    /** A response that only the end of its connection delimits was taken as complete or as cut. */
    RESPONSE_END,
    /** A caller disconnected before its response was complete. */
    CANCELLED,
    /** A caller's connection ended before its request was received, or before its response was delivered. */
    INTERRUPTED,
    /** A newer publication took effect in this process. */
    PUBLISHED,
    /** A change was accepted or rejected. */
    CHANGE,
    /** A target was registered, is leaving or was removed. */
    TARGET,
    /** A target that broke off a request was asked which incarnation it is. */
    CHECKED,
    /** A target is avoided, or used again. */
    HEALTH,
    /** A target changed its request for lower rate, back-off or draining. */
    NOTICE,
    /** A data hall is evacuated, or its evacuation ended. */
    EVACUATION,
    /** This control box became leader or follower, joined the group or recovered. */
    GROUP,
    /** A target crashed while it processed a request, or a request was stopped for that reason. */
    SUSPECT,
    /** Weights were fetched, checked, staged or started. */
    WEIGHTS;

    private static final int LINES_PER_SECOND = 20;

    /** The rate limit of kinds whose every line is needed. */
    private static final int RARE_LINES_PER_SECOND = 500;

    private final int maxLinesPerSecond;

    DecisionKind() {
        this(LINES_PER_SECOND);
    }

    DecisionKind(int maxLinesPerSecond) {
        this.maxLinesPerSecond = maxLinesPerSecond;
    }

    /** Returns how many lines of this kind are written in a second; further ones are dropped. */
    int maxLinesPerSecond() {
        return maxLinesPerSecond;
    }

    /** Returns the kind's name in the log, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

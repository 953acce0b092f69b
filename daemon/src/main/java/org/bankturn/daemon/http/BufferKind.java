package org.bankturn.daemon.http;

import java.util.Locale;

/** What memory of a {@link BufferBudget} holds. */
public enum BufferKind {
    /** The body of a caller's request. */
    REQUEST,
    /** The body of a target's response. */
    RESPONSE,
    /** An incomplete event of a stream. */
    EVENT;

    /** Returns the name in metrics, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

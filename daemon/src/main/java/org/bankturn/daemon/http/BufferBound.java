package org.bankturn.daemon.http;

import java.util.Locale;

/** The bound of a {@link BufferBudget} that does not allow a message to grow. */
public enum BufferBound {
    /** The bound of one message. */
    MESSAGE,
    /** The bound of all messages together. */
    TOTAL;

    /** Returns the name in logs and metrics, not null. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}

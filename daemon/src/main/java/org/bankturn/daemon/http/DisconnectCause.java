package org.bankturn.daemon.http;

import java.util.Locale;

/** The reason why the connection of a client ended. */
public enum DisconnectCause {
    /** The client closed the connection or its sending half. */
    CLOSED_BY_CLIENT,
    /** The connection was reset, or reading or writing failed. */
    CONNECTION_FAILED,
    /** The client accepted no data for longer than the idle timeout, so the connection was closed here. */
    WRITE_TIMEOUT,
    /** The client did not read its response while too much output was queued, so the connection was closed here. */
    SLOW_READER,
    /** The client did not complete a request in time, so the connection was closed here. */
    REQUEST_TIMEOUT,
    /** The connection was unused for longer than the idle timeout, so it was closed here. */
    IDLE,
    /** The response was aborted here, so that the client detects that it is incomplete. */
    RESPONSE_ABORTED,
    /** The listener was closed. */
    SHUTDOWN;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the name used in logs and metrics, not null. */
    public String label() {
        return label;
    }
}

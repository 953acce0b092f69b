package org.bankturn.daemon.wire;

import org.bankturn.daemon.settings.Address;

/** Observes connections to other processes that are closed for silence or cannot take what is sent. */
@FunctionalInterface
public interface ConnectionObserver {
    /** An observer that does nothing. */
    ConnectionObserver NONE = (address, silentMillis, established) -> {};

    /**
     * Called when a silent connection is closed.
     *
     * @param address the other process's node address, not null
     * @param silentMillis the time since data was last received on it, in milliseconds
     * @param established true if data was received on it before, which shows that it once worked
     */
    void onSilentConnection(Address address, long silentMillis, boolean established);

    /**
     * Called when a message is dropped because too much waits to be sent to the same process.
     *
     * @param peer the other process's address, not null
     * @param reply true for a reply, false for a request or a message without reply
     * @param bytes the size of the message
     * @param unsentBytes the size of what waits to be sent
     */
    default void onMessageDropped(String peer, boolean reply, int bytes, long unsentBytes) {}
}

package org.bankturn.daemon.wire;

import org.bankturn.daemon.settings.Address;

/** Observes connections to other processes that are closed because nothing is received on them. */
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
}

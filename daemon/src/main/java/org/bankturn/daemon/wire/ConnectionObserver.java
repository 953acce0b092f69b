package org.bankturn.daemon.wire;

import org.bankturn.daemon.settings.Address;

/** Hears of connections to other processes that are given up because they are silent. */
@FunctionalInterface
public interface ConnectionObserver {
    /** Notes nothing. */
    ConnectionObserver NONE = (address, silentMillis, kept) -> {};

    /**
     * Takes in that a connection is given up.
     *
     * @param address the other process's node address, not null
     * @param silentMillis for how long nothing came on it, in milliseconds
     * @param kept true if something had come on it before, so that it was open and well once
     */
    void onSilentConnection(Address address, long silentMillis, boolean kept);
}

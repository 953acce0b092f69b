package org.bankturn.daemon.publication;

/** Receives each change of the published state and its confirmations. */
@FunctionalInterface
public interface PublicationListener {
    /**
     * Handles a new published state.
     *
     * @param newer the published state, not null
     * @param changedSinceMillis a time, by the clock of this process, before which none of the changes were committed;
     *     far in the past if unknown, as at the first change
     */
    void published(PublishedState newer, long changedSinceMillis);

    /**
     * Handles the confirmation by a control process with contact to a majority that the last published state is current.
     *
     * @param atMillis a time, by the clock of this process, at which it was current
     */
    default void confirmed(long atMillis) {}
}

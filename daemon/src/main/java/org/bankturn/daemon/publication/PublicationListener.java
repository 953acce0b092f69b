package org.bankturn.daemon.publication;

/** Hears of each change of what is published, and when it is confirmed for the first time. */
@FunctionalInterface
public interface PublicationListener {
    /**
     * Takes in what is published now.
     *
     * @param newer what is published, not null
     * @param changedSinceMillis a moment at which nothing of what is new in it was in force yet, by this process's clock;
     *     long ago if that is not known, as at the first change
     */
    void published(PublishedState newer, long changedSinceMillis);
}

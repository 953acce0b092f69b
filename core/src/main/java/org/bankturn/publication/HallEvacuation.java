package org.bankturn.publication;

/**
 * The outcome of the last evacuation order for a data hall.
 *
 * @param hall the name of the data hall, not null
 * @param evacuated true if its targets get no requests
 * @param orderIndex the index of the log entry of the last order that took effect
 */
public record HallEvacuation(String hall, boolean evacuated, long orderIndex) {}

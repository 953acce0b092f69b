package org.bankturn.configuration;

/**
 * A zone with its own boxes, which may be cut off from the others.
 *
 * @param name the hall's name, not null
 * @param region the region that the hall lies in, not null
 */
public record DataHall(String name, String region) {}

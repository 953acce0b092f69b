package org.bankturn.configuration;

/**
 * A failure domain that contains boxes and may be partitioned from other data halls.
 *
 * @param name the data hall name, not null
 * @param region the region that contains the data hall, not null
 */
public record DataHall(String name, String region) {}

package org.bankturn.configuration;

/**
 * A machine with a target process of bankturn beside an engine or a plain service.
 *
 * @param name the box's name, not null
 * @param dataHall the hall that it stands in, not null
 * @param service the service that it answers for, not null
 * @param httpAddress host:port where its target process takes requests, not null
 * @param nodeAddress host:port where its target process takes messages of other processes, not null
 * @param leaving true if the operators are taking it out of service
 */
public record Box(
        String name, String dataHall, String service, String httpAddress, String nodeAddress, boolean leaving) {}

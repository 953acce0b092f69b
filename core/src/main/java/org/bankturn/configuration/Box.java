package org.bankturn.configuration;

/**
 * A machine that runs a bankturn target process next to an inference engine or a plain service.
 *
 * @param name the box name, not null
 * @param dataHall the name of the data hall that contains the box, not null
 * @param service the name of the service that the box runs, not null
 * @param httpAddress host:port on which the target process accepts HTTP requests, not null
 * @param nodeAddress host:port on which the target process accepts messages from other bankturn processes, not null
 * @param leaving true if the box is being taken out of service
 */
public record Box(
        String name, String dataHall, String service, String httpAddress, String nodeAddress, boolean leaving) {}

package org.bankturn.daemon.weights;

import org.bankturn.daemon.settings.Address;

/**
 * What the process beside a target must be told.
 *
 * @param process its name, not null
 * @param dataHall the data hall it is in, not null
 * @param nodeAddress where other processes call, not null
 * @param engineAddress where its engine is called, not null
 * @param service the service that its engine belongs to, not null
 * @param deadlineMillis within which a named version must be everywhere
 * @param linkBytesPerSecond the rate of the box's link
 */
public record WeightsSettings(
        String process,
        String dataHall,
        Address nodeAddress,
        Address engineAddress,
        String service,
        long deadlineMillis,
        long linkBytesPerSecond) {}

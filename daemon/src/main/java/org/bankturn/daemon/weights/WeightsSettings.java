package org.bankturn.daemon.weights;

import org.bankturn.daemon.settings.Address;

/**
 * The settings of a process that manages the weights of a target's engine.
 *
 * @param process the name of the process, not null
 * @param dataHall the data hall of the box, not null
 * @param nodeAddress the address for calls from other processes, not null
 * @param engineAddress the address of the engine, not null
 * @param service the service of the engine, not null
 * @param deadlineMillis the time within which every engine must have changed to a published version
 * @param linkBytesPerSecond the bandwidth of the box's link
 */
public record WeightsSettings(
        String process,
        String dataHall,
        Address nodeAddress,
        Address engineAddress,
        String service,
        long deadlineMillis,
        long linkBytesPerSecond) {}

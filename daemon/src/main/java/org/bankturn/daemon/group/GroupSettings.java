package org.bankturn.daemon.group;

import java.util.List;
import org.bankturn.daemon.settings.Address;

/**
 * What a control process must be told.
 *
 * @param process its name, not null
 * @param dataHall the data hall it is in, not null
 * @param callAddress where operators and targets call, not null
 * @param nodeAddress where other processes call, not null
 * @param listenAddress where it listens for them; another address only where a forwarder stands before it, not null
 * @param dataFolder where its files lie, not null
 * @param formsGroup true only at the very first start of all control boxes
 * @param seeds node addresses of control boxes, not null
 * @param heartbeatMillis how often targets say that they are there
 */
public record GroupSettings(
        String process,
        String dataHall,
        Address callAddress,
        Address nodeAddress,
        Address listenAddress,
        String dataFolder,
        boolean formsGroup,
        List<Address> seeds,
        long heartbeatMillis) {
    /** Copies the seeds. */
    public GroupSettings {
        seeds = List.copyOf(seeds);
    }
}

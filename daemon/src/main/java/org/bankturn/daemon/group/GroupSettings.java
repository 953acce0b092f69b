package org.bankturn.daemon.group;

import java.util.List;
import org.bankturn.daemon.settings.Address;
import org.bankturn.service.RegionMap;

/**
 * The settings of a control process.
 *
 * @param process the process name, not null
 * @param dataHall the data hall of the process, not null
 * @param callAddress the listen address for operators and targets, not null
 * @param nodeAddress the advertised address for other processes, not null
 * @param listenAddress the listen address for other processes, unlike {@code nodeAddress} only behind a proxy, not null
 * @param dataFolder the path of the data folder, not null
 * @param formsGroup true only at the first start of all control boxes, which bootstraps the group
 * @param seeds the node addresses of the control boxes, not null
 * @param heartbeatMillis the heartbeat interval of targets
 * @param regions the region of each data hall, not null
 * @param toleratedLosses the number of control boxes that may be lost at the same time
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
        long heartbeatMillis,
        RegionMap regions,
        int toleratedLosses) {
    /** The number of losses tolerated by the smallest replicated group. */
    public static final int DEFAULT_TOLERATED_LOSSES = 1;

    /** Copies the seeds. */
    public GroupSettings {
        seeds = List.copyOf(seeds);
    }

    /** Creates the settings of a control process that knows no regions and tolerates one loss. */
    public GroupSettings(
            String process,
            String dataHall,
            Address callAddress,
            Address nodeAddress,
            Address listenAddress,
            String dataFolder,
            boolean formsGroup,
            List<Address> seeds,
            long heartbeatMillis) {
        this(
                process,
                dataHall,
                callAddress,
                nodeAddress,
                listenAddress,
                dataFolder,
                formsGroup,
                seeds,
                heartbeatMillis,
                RegionMap.NONE,
                DEFAULT_TOLERATED_LOSSES);
    }
}

package org.bankturn.daemon.serving;

import java.util.List;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.ProcessRole;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.RegionMap;

/**
 * The validated settings of one process.
 *
 * @param process the name of the process, not null
 * @param role the role of the process, not null
 * @param dataHall the data hall of the process, not null
 * @param callAddress the address for callers (entry) or for operators and targets (control); null for a target process
 * @param readyAddress the address of the readiness check; null unless it is an entry process
 * @param nodeAddress the address for messages of other processes, not null
 * @param metricsAddress the address of the metrics endpoint, null if metrics are not served
 * @param dataFolder the folder of the persistent files; null unless it is a control process
 * @param bootstrapsGroup true if a new control group may be formed; only at the first start of all control boxes
 * @param seeds the node addresses of control boxes, not null
 * @param engineAddress the address of the engine on the same box; null unless it is a target process
 * @param service the service of that engine; null unless it is a target process
 * @param linkBytesPerSecond the bandwidth of the box's network link
 * @param bounds the timeouts and limits of the deployment, not null
 * @param regions the region of each data hall, not null
 */
public record ServingSettings(
        String process,
        ProcessRole role,
        String dataHall,
        Address callAddress,
        Address readyAddress,
        Address nodeAddress,
        Address metricsAddress,
        String dataFolder,
        boolean bootstrapsGroup,
        List<Address> seeds,
        Address engineAddress,
        String service,
        long linkBytesPerSecond,
        Bounds bounds,
        RegionMap regions) {
    /** Makes a defensive copy of the seeds. */
    public ServingSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * The timeouts and limits of a deployment.
     *
     * @param heartbeatMillis the interval between heartbeats
     * @param stopTimeoutMillis the longest duration of a planned stop
     * @param weightsDeadlineMillis the time within which all targets must hold a named weights version
     * @param retries the retry budget of all gateways together, not null
     * @param toleratedLosses the number of control boxes that may be lost at the same time
     */
    public record Bounds(
            long heartbeatMillis,
            long stopTimeoutMillis,
            long weightsDeadlineMillis,
            RetryLimits retries,
            int toleratedLosses) {}
}

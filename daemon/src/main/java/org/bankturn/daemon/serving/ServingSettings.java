package org.bankturn.daemon.serving;

import java.util.List;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.ProcessRole;
import org.bankturn.routing.RetryLimits;

/**
 * The checked settings of one process.
 *
 * @param process its name, not null
 * @param role what it does, not null
 * @param dataHall the data hall it is in, not null
 * @param callAddress where callers, or operators and targets, connect; null for a target process
 * @param readyAddress where the platform asks whether it is ready; null unless it is an entry process
 * @param nodeAddress where other processes call, not null
 * @param metricsAddress where metrics are served, null if they are not
 * @param dataFolder where its files lie; null unless it is a control process
 * @param bootstrapsGroup true only at the very first start of all control boxes
 * @param seeds node addresses of control boxes, not null
 * @param engineAddress where the engine on the same box is called; null unless it is a target process
 * @param service the service of that engine; null unless it is a target process
 * @param linkBytesPerSecond the rate of the box's link
 * @param bounds the times and shares that the deployment sets, not null
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
        Bounds bounds) {
    /** Copies the seeds. */
    public ServingSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * The times and shares that a deployment sets.
     *
     * @param heartbeatMillis how often targets say that they are there
     * @param stopTimeoutMillis how long a planned stop may take
     * @param weightsDeadlineMillis within which a named version must be everywhere
     * @param retries how often all gateways together may send a request again, not null
     */
    public record Bounds(
            long heartbeatMillis, long stopTimeoutMillis, long weightsDeadlineMillis, RetryLimits retries) {}
}

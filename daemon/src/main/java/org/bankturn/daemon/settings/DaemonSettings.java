package org.bankturn.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * The validated settings of one process.
 *
 * @param process the name of the process; the name of its box for a target process, not null
 * @param dataHall the data hall of the process, not null
 * @param roles the roles of the process, not empty
 * @param httpAddress the address of the HTTP server, not null
 * @param nodeAddress the address for messages of other processes, not null
 * @param controlBoxes the boxes that may be members of the agreement group, not empty
 * @param configurationSources the node addresses from which the configuration is fetched, not null
 * @param control the settings of the control role, null if the process does not have it
 * @param entry the settings of the entry role, null if the process does not have it
 * @param target the settings of the target role, null if the process does not have it
 * @param traces true if trace spans are written to the log
 */
public record DaemonSettings(
        String process,
        String dataHall,
        Set<ProcessRole> roles,
        Address httpAddress,
        Address nodeAddress,
        List<ControlBox> controlBoxes,
        List<Address> configurationSources,
        ControlSettings control,
        EntrySettings entry,
        TargetSettings target,
        boolean traces) {
    /**
     * A box that may be a member of the agreement group.
     *
     * @param name the name of the control process on that box, not null
     * @param nodeAddress its node address, not null
     */
    public record ControlBox(String name, Address nodeAddress) {}

    /**
     * Settings of the control role.
     *
     * @param dataFolder the folder of the persistent files, not null
     * @param electionTimeoutMillis the time without a message of the leader before an election starts
     * @param heartbeatMillis the interval between the leader's heartbeats
     * @param snapshotEvery the number of log entries between snapshots
     */
    public record ControlSettings(
            Path dataFolder, long electionTimeoutMillis, long heartbeatMillis, int snapshotEvery) {}

    /**
     * Settings of the entry role.
     *
     * @param workerThreads the number of threads that serve callers
     * @param defaultDeadlineMillis the deadline of requests that specify none
     * @param keyLifetimeMillis how long an idempotency key is remembered
     * @param retryPercent the maximum number of retries per hundred requests
     * @param boxList the address of the platform's list of leaving boxes, null if there is none
     * @param stopGraceMillis how long a stopping process accepts requests until the load balancer has removed it
     */
    public record EntrySettings(
            int workerThreads,
            long defaultDeadlineMillis,
            long keyLifetimeMillis,
            int retryPercent,
            Address boxList,
            long stopGraceMillis) {}

    /**
     * Settings of the target role.
     *
     * @param chunkFolder the folder of the weights' chunks, not null
     * @param backend the address of the engine or plain service on this box, not null
     * @param backendChecksFence true if the engine refuses orders with a stale fencing token
     * @param uploadBytesPerSecond the upload rate limit of this box
     * @param downloadBytesPerSecond the download rate limit of this box
     * @param leaseMillis the duration of the lease for sending orders to the engine
     */
    public record TargetSettings(
            Path chunkFolder,
            Address backend,
            boolean backendChecksFence,
            long uploadBytesPerSecond,
            long downloadBytesPerSecond,
            long leaseMillis) {}

    /**
     * Returns whether the process has a role.
     *
     * @param role the role, not null
     * @return true if the process has the role
     */
    public boolean hasRole(ProcessRole role) {
        return roles.contains(role);
    }
}

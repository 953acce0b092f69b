package org.bankturn.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * Everything that one process learns from its settings.
 *
 * @param process the process's name; for a target process, its box's name, not null
 * @param dataHall the hall that it stands in, not null
 * @param roles what it does, not empty
 * @param httpAddress where it takes HTTP, not null
 * @param nodeAddress where it takes messages of other processes, not null
 * @param controlBoxes the boxes that may be members of the agreement group, not empty
 * @param configurationSources node addresses to learn the configuration from, not null
 * @param control settings of the control role, null without it
 * @param entry settings of the entry role, null without it
 * @param target settings of the target role, null without it
 * @param traces true if spans are written to the log
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
     * @param name the process's name on that box, not null
     * @param nodeAddress its node address, not null
     */
    public record ControlBox(String name, Address nodeAddress) {}

    /**
     * Settings of the control role.
     *
     * @param dataFolder the one folder that lasts, not null
     * @param electionTimeoutMillis silence after which a new leader is sought
     * @param heartbeatMillis time between a leader's messages
     * @param snapshotEvery log entries between snapshots
     */
    public record ControlSettings(
            Path dataFolder, long electionTimeoutMillis, long heartbeatMillis, int snapshotEvery) {}

    /**
     * Settings of the entry role.
     *
     * @param workerThreads threads that serve callers
     * @param defaultDeadlineMillis the time a request has if its caller names none
     * @param keyLifetimeMillis how long an idempotency key is remembered
     * @param retryPercent retries per hundred requests at most
     * @param boxList where the platform lists leaving boxes, null if it does not
     * @param stopGraceMillis how long a stopping process still takes requests, so that the balancer notices
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
     * @param chunkFolder where weights are kept, not null
     * @param backend the engine or plain service on this box, not null
     * @param backendChecksFence true if the engine itself refuses orders with old fences
     * @param uploadBytesPerSecond what peers may draw from this box
     * @param downloadBytesPerSecond what this box may draw
     * @param leaseMillis how long the right to order the engine lasts
     */
    public record TargetSettings(
            Path chunkFolder,
            Address backend,
            boolean backendChecksFence,
            long uploadBytesPerSecond,
            long downloadBytesPerSecond,
            long leaseMillis) {}

    /**
     * Tells whether the process has a role.
     *
     * @param role the role, not null
     * @return true if it has
     */
    public boolean hasRole(ProcessRole role) {
        return roles.contains(role);
    }
}

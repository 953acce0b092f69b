package org.bankturn.state.query;

import java.util.List;
import java.util.Map;

/**
 * The reply to the {@code status} operator command.
 *
 * @param answeredBy the control box that answered, not null
 * @param leader the box of the leader, null if unknown
 * @param term the current Raft term
 * @param members the boxes of the members with their incarnations, not null
 * @param configurationIndex the index of the configuration on the box that answered
 * @param configurationDigest the digest of that configuration, not null
 * @param inService the manifest in service for each model, not null
 * @param originCopies the number of copies granted from the origin for each manifest, not null
 * @param claims the number of claims in the request ledger
 * @param processes the processes that have reported, not null
 */
public record StatusReply(
        String answeredBy,
        String leader,
        long term,
        List<String> members,
        long configurationIndex,
        String configurationDigest,
        Map<String, String> inService,
        Map<String, Double> originCopies,
        int claims,
        List<ProcessStatus> processes) {
    /**
     * The status of one process.
     *
     * @param process the name of the process, not null
     * @param role the role of the process, not null
     * @param dataHall the data hall of the process, not null
     * @param configurationIndex the index of the configuration that the process uses
     * @param behindMillis how long the process has reported an outdated configuration, 0 if it is up to date
     * @param reportAgeMillis the age of the last report
     * @param loaded the manifests that the process serves, not null
     * @param note a message for operators, empty if none, not null
     * @param leaving true if the process accepts no new work
     */
    public record ProcessStatus(
            String process,
            String role,
            String dataHall,
            long configurationIndex,
            long behindMillis,
            long reportAgeMillis,
            List<String> loaded,
            String note,
            boolean leaving) {}
}

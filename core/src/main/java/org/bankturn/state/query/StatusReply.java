package org.bankturn.state.query;

import java.util.List;
import java.util.Map;

/**
 * What `bankturn status` shows.
 *
 * @param answeredBy the control box that answered, not null
 * @param leader the box that leads, null if none is known
 * @param term the agreement's term
 * @param members the members' boxes with their incarnations, not null
 * @param configurationIndex the index in force on the box that answered
 * @param configurationDigest its digest, not null
 * @param inService the manifest in service by model, not null
 * @param originCopies the copies granted from the origin by manifest, not null
 * @param claims the keyed requests remembered
 * @param processes every process that has reported, not null
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
        List<ProcessLine> processes) {
    /**
     * One process.
     *
     * @param process its name, not null
     * @param role its role, not null
     * @param dataHall its hall, not null
     * @param configurationIndex the index in force in it
     * @param behindMillis how long its last report has named an older index than the one in force, 0 if it does not
     * @param reportAgeMillis how long ago it last reported
     * @param loaded the manifests that it serves, not null
     * @param note a state worth telling, empty if none, not null
     * @param leaving true if it takes no new work
     */
    public record ProcessLine(
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

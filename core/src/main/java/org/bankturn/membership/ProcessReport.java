package org.bankturn.membership;

import java.util.List;

/**
 * The status report of a process, forwarded from targets through entry processes to the control group.
 *
 * @param process the name of the process, not null
 * @param role the role of the process: entry, target or control, not null
 * @param dataHall the data hall of the process, not null
 * @param start the start time of the process in milliseconds, which distinguishes its starts
 * @param sequence the sequence number of the report since the start
 * @param configurationIndex the index of the configuration that the process uses
 * @param configurationDigest the digest of that configuration, not null
 * @param loaded the manifests that the engine serves completely, empty for other roles, not null
 * @param note a message for operators, such as a failed copy; empty if none, not null
 * @param leaving true if the process accepts no new work
 */
public record ProcessReport(
        String process,
        String role,
        String dataHall,
        long start,
        long sequence,
        long configurationIndex,
        String configurationDigest,
        List<String> loaded,
        String note,
        boolean leaving) {
    /**
     * Returns whether this report supersedes another one of the same process.
     *
     * @param other the other report, may be null
     * @return true if this report has a later start, or the same start and a higher sequence number
     */
    public boolean isNewerThan(ProcessReport other) {
        return other == null || start > other.start || (start == other.start && sequence > other.sequence);
    }
}

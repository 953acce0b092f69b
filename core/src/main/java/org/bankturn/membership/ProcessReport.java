package org.bankturn.membership;

import java.util.List;

/**
 * What a process says of itself; passed up from target to entry to control.
 *
 * @param process the process's name, not null
 * @param role entry, target or control, not null
 * @param dataHall its hall, not null
 * @param start when this start of it began, in milliseconds, to tell its starts apart
 * @param sequence grows with each report of one start
 * @param configurationIndex the configuration that is in force in it
 * @param configurationDigest that configuration's digest, not null
 * @param loaded the manifests that its engine serves whole, empty for other roles, not null
 * @param note a state worth telling operators, such as a copy that stopped; empty if none, not null
 * @param leaving true if it takes no new work
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
     * Tells whether this report supersedes another of the same process.
     *
     * @param other the other report, null allowed
     * @return true if this one is of a later start, or later in the same start
     */
    public boolean isNewerThan(ProcessReport other) {
        return other == null || start > other.start || (start == other.start && sequence > other.sequence);
    }
}

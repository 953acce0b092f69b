package org.bankturn.replay;

/**
 * What became of the requests of one kind or one account.
 *
 * @param name the kind or the account, not null
 * @param requests the number of requests that ended
 * @param rejected the number that were rejected at their first attempt
 * @param unserved the number that ended without a complete answer
 * @param earned the earned credit
 * @param possible the credit if all had been answered in time
 */
public record GroupOutcome(String name, int requests, int rejected, int unserved, double earned, double possible) {
    static GroupOutcome none(String name) {
        return new GroupOutcome(name, 0, 0, 0, 0, 0);
    }

    GroupOutcome with(boolean wasRejected, boolean served, double credit, double possibleCredit) {
        return new GroupOutcome(
                name,
                requests + 1,
                rejected + (wasRejected ? 1 : 0),
                unserved + (served ? 0 : 1),
                earned + credit,
                possible + possibleCredit);
    }

    /** Returns the earned share of the possible credit. */
    public double creditShare() {
        return earned / Math.max(1, possible);
    }

    /** Returns the share of the requests that were rejected at their first attempt. */
    public double rejectedShare() {
        return (double) rejected / Math.max(1, requests);
    }

    /** Returns the share of the requests that were answered completely. */
    public double servedShare() {
        return 1 - (double) unserved / Math.max(1, requests);
    }
}

package org.bankturn.routing;

import java.util.List;

/** What a gateway does next with a request. */
public sealed interface NextStep {
    /**
     * Asks engines for their load, then decides again.
     *
     * @param targets the incarnations to ask, at least one, not null
     */
    record PollLoad(List<String> targets) implements NextStep {
        /** Copies the list. */
        public PollLoad {
            targets = List.copyOf(targets);
        }
    }

    /**
     * Waits until it is known whether there is a permit for a target, or until there is one, then decides again.
     *
     * @param target the target, which names a limit, not null
     * @param timeoutMillis how long to wait at most
     */
    record AwaitPermit(TargetState target, long timeoutMillis) implements NextStep {}

    /**
     * Sends it to a target.
     *
     * @param candidate the target and what is predicted there, not null
     * @param minVersion the oldest version of the weights that may run it, 0 for any
     */
    record Send(TargetTable.Candidate candidate, int minVersion) implements NextStep {}

    /**
     * Gives it up: its final answer goes out at once.
     *
     * @param reason why, for the log, not null
     * @param retryAfterMillis when its caller should come back, if it certainly did not run
     */
    record GiveUp(String reason, long retryAfterMillis) implements NextStep {}
}

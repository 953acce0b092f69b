package org.bankturn.routing;

import java.util.List;

/** The gateway's next action for a request. */
public sealed interface NextStep {
    /**
     * Polls the load of engines, then decides again.
     *
     * @param targets the incarnations to poll, at least one, not null
     */
    record PollLoad(List<String> targets) implements NextStep {
        /** Copies the list. */
        public PollLoad {
            targets = List.copyOf(targets);
        }
    }

    /**
     * Waits for a pending permit request or a reserved permit, then decides again.
     *
     * @param target the rate-limited target, not null
     * @param timeoutMillis the maximum wait
     */
    record AwaitPermit(TargetState target, long timeoutMillis) implements NextStep {}

    /**
     * Waits until a begun stream may be sent to a target, then decides again.
     *
     * @param timeoutMillis the wait, more than 0
     */
    record AwaitTarget(long timeoutMillis) implements NextStep {}

    /**
     * Sends the request to a target.
     *
     * @param candidate the target and its predicted delays, not null
     */
    record Send(Candidate candidate) implements NextStep {}

    /**
     * Gives the request up and sends its final response.
     *
     * @param cause the check that failed, not null
     * @param reason the reason, for the log, not null
     * @param retryAfterMillis the retry delay for the caller if the request was not executed
     */
    record GiveUp(FailureCause cause, String reason, long retryAfterMillis) implements NextStep {}
}

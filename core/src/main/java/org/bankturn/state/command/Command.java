package org.bankturn.state.command;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.BitSet;
import java.util.Set;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.distribution.OriginBudget;
import org.bankturn.ledger.RecordedResponse;

/**
 * A command of the replicated state machine.
 *
 * <p>Commands are deterministic: all times are set by the leader before replication.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "command")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Command.ApplyFile.class, name = "applyFile"),
    @JsonSubTypes.Type(value = Command.EnterService.class, name = "enterService"),
    @JsonSubTypes.Type(value = Command.AcquireLease.class, name = "acquireLease"),
    @JsonSubTypes.Type(value = Command.ReleaseLease.class, name = "releaseLease"),
    @JsonSubTypes.Type(value = Command.ClaimRequest.class, name = "claimRequest"),
    @JsonSubTypes.Type(value = Command.RecordResponse.class, name = "recordAnswer"),
    @JsonSubTypes.Type(value = Command.ReleaseClaim.class, name = "releaseClaim"),
    @JsonSubTypes.Type(value = Command.GrantOrigin.class, name = "grantOrigin")
})
public sealed interface Command {
    /** Atomically applies an operator file. */
    record ApplyFile(String text, String submittedBy) implements Command {}

    /** Puts a version into service. */
    record EnterService(String model, String manifest) implements Command {}

    /** Requests a lease; {@code expiredFence} is the fence of a lease that the leader knows to be expired, or 0. */
    record AcquireLease(String name, String holder, long durationMillis, long expiredFence) implements Command {}

    /** Releases a lease. */
    record ReleaseLease(String name, long fence) implements Command {}

    /** Claims a keyed request for one attempt. */
    record ClaimRequest(
            String account,
            String key,
            String fingerprint,
            String attempt,
            long nowMillis,
            long deadlineMillis,
            long expiresMillis)
            implements Command {}

    /** Records the response to a claimed request; a null {@code answer} means that the outcome is unknown. */
    record RecordResponse(String account, String key, String attempt, RecordedResponse answer) implements Command {}

    /** Releases the claim of a request that is proven not to have run. */
    record ReleaseClaim(String account, String key, String attempt) implements Command {}

    /**
     * Reports completed fetches from the origin and requests grants for more. {@code kept}, {@code failed} and
     * {@code unreachable} are bit sets of chunks, encoded as little-endian longs. The leader sets {@code nowMillis} and
     * {@code silentBoxes}.
     */
    record GrantOrigin(
            String manifest,
            int chunkCount,
            String box,
            long[] kept,
            long[] failed,
            long[] unreachable,
            int wanted,
            DistributionPolicy policy,
            Set<String> silentBoxes,
            long nowMillis)
            implements Command {
        /** Returns the request to the origin budget, not null. */
        public OriginBudget.Request request() {
            return new OriginBudget.Request(box, BitSet.valueOf(unreachable), wanted, policy, silentBoxes, nowMillis);
        }

        /** Returns true if the command reports kept or failed chunks. */
        public boolean reportsCompletedFetches() {
            return kept.length + failed.length > 0;
        }
    }
}

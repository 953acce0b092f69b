package org.bankturn.state.command;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.BitSet;
import java.util.Set;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.distribution.OriginBudget;
import org.bankturn.ledger.RecordedAnswer;

/**
 * Something to be put into the agreement log; every member applies it in the same order with the same result.
 *
 * <p>Times in commands are the leader's, so that applying them needs no clock.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "command")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Command.ApplyFile.class, name = "applyFile"),
    @JsonSubTypes.Type(value = Command.EnterService.class, name = "enterService"),
    @JsonSubTypes.Type(value = Command.AcquireLease.class, name = "acquireLease"),
    @JsonSubTypes.Type(value = Command.ReleaseLease.class, name = "releaseLease"),
    @JsonSubTypes.Type(value = Command.ClaimRequest.class, name = "claimRequest"),
    @JsonSubTypes.Type(value = Command.RecordAnswer.class, name = "recordAnswer"),
    @JsonSubTypes.Type(value = Command.ReleaseClaim.class, name = "releaseClaim"),
    @JsonSubTypes.Type(value = Command.GrantOrigin.class, name = "grantOrigin")
})
public sealed interface Command {
    /** Applies an operators' file, whole or not at all. */
    record ApplyFile(String text, String submittedBy) implements Command {}

    /** Puts a version into service. */
    record EnterService(String model, String manifest) implements Command {}

    /** Asks for the lease on a box's engine; {@code expiredFence} names a lease that the leader has waited out. */
    record AcquireLease(String name, String holder, long durationMillis, long expiredFence) implements Command {}

    /** Gives a lease up. */
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

    /** Records what a claimed request was answered with; a null answer says that the outcome is not known. */
    record RecordAnswer(String account, String key, String attempt, RecordedAnswer answer) implements Command {}

    /** Takes back a claim whose request was proven not to have run. */
    record ReleaseClaim(String account, String key, String attempt) implements Command {}

    /**
     * Says which draws from the origin have ended and asks for more; {@code kept}, {@code failed} and
     * {@code unreachable} are bit sets of chunks as little-endian longs. The leader fills in the time and the boxes that
     * it no longer hears from.
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
        /** Returns what the box asks for, as the budget takes it, not null. */
        public OriginBudget.Request request() {
            return new OriginBudget.Request(box, BitSet.valueOf(unreachable), wanted, policy, silentBoxes, nowMillis);
        }

        /** Returns true if a draw has ended since the box last asked. */
        public boolean tellsOfEnds() {
            return kept.length + failed.length > 0;
        }
    }
}

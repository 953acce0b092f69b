package org.bankturn.state.command;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bankturn.lease.Lease;
import org.bankturn.ledger.ClaimResult;
import org.bankturn.result.ResultCode;

/** The result of applying a command. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
@JsonSubTypes({
    @JsonSubTypes.Type(value = CommandResult.FileAccepted.class, name = "fileAccepted"),
    @JsonSubTypes.Type(value = CommandResult.FileRefused.class, name = "fileRefused"),
    @JsonSubTypes.Type(value = CommandResult.Done.class, name = "done"),
    @JsonSubTypes.Type(value = CommandResult.LeaseState.class, name = "leaseAnswer"),
    @JsonSubTypes.Type(value = CommandResult.ClaimDecision.class, name = "claimAnswer"),
    @JsonSubTypes.Type(value = CommandResult.OriginGranted.class, name = "originGranted"),
    @JsonSubTypes.Type(value = CommandResult.NotExecuted.class, name = "notDone")
})
public sealed interface CommandResult {
    /** The file takes effect at this index. Applying the same file again returns the same result. */
    record FileAccepted(String name, long number, long index, String digest, String submittedBy)
            implements CommandResult {}

    /** The file was rejected as a whole; each error contains the code, file, line and field. */
    record FileRefused(ResultCode code, List<String> errors) implements CommandResult {}

    /** The command was applied, or had no effect. */
    record Done() implements CommandResult {}

    /** The current lease; {@code granted} is true if the requester holds it. */
    record LeaseState(Lease lease, boolean granted, long retryAfterMillis) implements CommandResult {}

    /** The result of a claim. */
    record ClaimDecision(ClaimResult result) implements CommandResult {}

    /** The chunks that may be fetched from the origin, once each. */
    record OriginGranted(List<Integer> chunks) implements CommandResult {}

    /**
     * The command was not executed, since this member is not the leader or has no majority.
     *
     * @param code the reason, not null
     * @param leaderAddress the address of the leader, null if unknown
     */
    record NotExecuted(ResultCode code, String leaderAddress) implements CommandResult {}
}

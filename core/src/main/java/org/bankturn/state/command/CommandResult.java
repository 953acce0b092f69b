package org.bankturn.state.command;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.bankturn.lease.Lease;
import org.bankturn.ledger.ClaimResult;
import org.bankturn.result.ResultCode;

/** What applying a command led to. */
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
    /** The file is in force from this index on; the same answer whenever it is sent again. */
    record FileAccepted(String name, long number, long index, String digest, String submittedBy)
            implements CommandResult {}

    /** Nothing of the file was applied; each error names code, file, line and field. */
    record FileRefused(ResultCode code, List<String> errors) implements CommandResult {}

    /** The command took effect, or had nothing to do. */
    record Done() implements CommandResult {}

    /** The lease now in force; {@code granted} tells whether it is the asker's. */
    record LeaseState(Lease lease, boolean granted, long retryAfterMillis) implements CommandResult {}

    /** What came of a claim. */
    record ClaimDecision(ClaimResult result) implements CommandResult {}

    /** The chunks that may be drawn from the origin, once each. */
    record OriginGranted(List<Integer> chunks) implements CommandResult {}

    /**
     * The command was not carried out here.
     *
     * @param code why: not the leader, or no majority answered, not null
     * @param leaderAddress where the leader is reached, null if not known
     */
    record NotExecuted(ResultCode code, String leaderAddress) implements CommandResult {}
}

package org.bankturn.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What came of asking for a claim. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "result")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimResult.Granted.class, name = "granted"),
    @JsonSubTypes.Type(value = ClaimResult.Running.class, name = "running"),
    @JsonSubTypes.Type(value = ClaimResult.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = ClaimResult.Unknown.class, name = "unknown"),
    @JsonSubTypes.Type(value = ClaimResult.KeyReused.class, name = "keyReused")
})
public sealed interface ClaimResult {
    /** The asking attempt holds the claim and may run the request, once. */
    record Granted() implements ClaimResult {}

    /** Another attempt is running it. */
    record Running(long remainingMillis) implements ClaimResult {}

    /** It ran; here is its answer. */
    record Answered(RecordedResponse answer) implements ClaimResult {}

    /** It may have run and must not be run again. */
    record Unknown() implements ClaimResult {}

    /** The key was used for another request. */
    record KeyReused() implements ClaimResult {}
}

package org.bankturn.ledger;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** The result of requesting a claim. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "result")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimResult.Granted.class, name = "granted"),
    @JsonSubTypes.Type(value = ClaimResult.Running.class, name = "running"),
    @JsonSubTypes.Type(value = ClaimResult.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = ClaimResult.Unknown.class, name = "unknown"),
    @JsonSubTypes.Type(value = ClaimResult.KeyReused.class, name = "keyReused")
})
public sealed interface ClaimResult {
    /** The attempt holds the claim and may run the request once. */
    record Granted() implements ClaimResult {}

    /** Another attempt is running the request. */
    record Running(long remainingMillis) implements ClaimResult {}

    /** The request has run and its response is recorded. */
    record Answered(RecordedResponse answer) implements ClaimResult {}

    /** The request may have run and must not be run again. */
    record Unknown() implements ClaimResult {}

    /** The key was used for a different request. */
    record KeyReused() implements ClaimResult {}
}

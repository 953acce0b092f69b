package org.bankturn.ledger;

/**
 * The claim of one attempt on a request with an idempotency key.
 *
 * @param account the client account, not null
 * @param key the idempotency key, not null
 * @param fingerprint the SHA-256 of method, path and body, not null
 * @param attempt the unique ID of the attempt that holds the claim, not null
 * @param state the state of the request, not null
 * @param deadlineMillis the leader's time after which the outcome of a running attempt is unknown
 * @param expiresMillis the leader's time after which the claim is removed
 * @param answer the recorded response, null if there is none
 */
public record Claim(
        String account,
        String key,
        String fingerprint,
        String attempt,
        ClaimState state,
        long deadlineMillis,
        long expiresMillis,
        RecordedResponse answer) {
    /** Returns this claim with a recorded response, not null. */
    Claim withResponse(RecordedResponse recorded) {
        return new Claim(
                account, key, fingerprint, attempt, ClaimState.ANSWERED, deadlineMillis, expiresMillis, recorded);
    }

    /** Returns this claim with an unknown outcome, not null. */
    Claim withUnknownOutcome() {
        return new Claim(account, key, fingerprint, attempt, ClaimState.UNKNOWN, deadlineMillis, expiresMillis, null);
    }
}

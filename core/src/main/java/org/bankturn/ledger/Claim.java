package org.bankturn.ledger;

/**
 * One keyed request: who runs it and what came of it.
 *
 * @param account the client account, not null
 * @param key the idempotency key, not null
 * @param fingerprint the SHA-256 of method, path and body, not null
 * @param attempt the attempt that holds the claim, unique, not null
 * @param state what is known of it, not null
 * @param deadlineMillis the leader's time after which a running attempt counts as unknown
 * @param expiresMillis the leader's time after which the claim is forgotten
 * @param answer the answer, null unless it is known
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
    /** Returns this claim with its answer, not null. */
    Claim withResponse(RecordedResponse recorded) {
        return new Claim(
                account, key, fingerprint, attempt, ClaimState.ANSWERED, deadlineMillis, expiresMillis, recorded);
    }

    /** Returns this claim with an outcome that is not known, not null. */
    Claim withUnknownOutcome() {
        return new Claim(account, key, fingerprint, attempt, ClaimState.UNKNOWN, deadlineMillis, expiresMillis, null);
    }
}

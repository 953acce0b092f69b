package org.bankturn.ledger;

/** What is known of a keyed request. */
public enum ClaimState {
    /** An entry process may be running it. */
    RUNNING,
    /** It ran and its answer is recorded. */
    ANSWERED,
    /** It may have run; nobody will run it again under this key. */
    UNKNOWN
}

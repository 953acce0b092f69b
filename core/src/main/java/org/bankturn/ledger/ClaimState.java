package org.bankturn.ledger;

/** The state of a claimed request. */
public enum ClaimState {
    /** An entry process may be running the request. */
    RUNNING,
    /** The request has run and its response is recorded. */
    ANSWERED,
    /** The request may have run and is never run again with this key. */
    UNKNOWN
}

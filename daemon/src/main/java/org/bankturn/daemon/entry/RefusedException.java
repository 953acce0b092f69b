package org.bankturn.daemon.entry;

import org.bankturn.result.ResultCode;
import org.bankturn.routing.NotRunProof;

/** Thrown when a caller's request is rejected before any attempt to send it to a target. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient NotRunProof proof;
    private final long retryAfterMillis;

    RefusedException(ResultCode code, String detail, long retryAfterMillis) {
        super(detail);
        this.proof = NotRunProof.refusedBeforeSending(code);
        this.retryAfterMillis = retryAfterMillis;
    }

    NotRunProof proof() {
        return proof;
    }

    long retryAfterMillis() {
        return retryAfterMillis;
    }
}

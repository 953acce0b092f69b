package org.bankturn.daemon.target;

import org.bankturn.result.ResultCode;

/** Thrown when a copy fails with an error that needs an operator and is not retried. */
final class CopyStoppedException extends Exception {
    private static final long serialVersionUID = 1L;

    CopyStoppedException(ResultCode code) {
        super(code.number() + " " + code.description());
    }
}

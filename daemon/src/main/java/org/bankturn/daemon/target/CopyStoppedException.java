package org.bankturn.daemon.target;

import org.bankturn.result.ResultCode;

/** Thrown when a copy cannot go on by itself and operators must look at it. */
final class CopyStoppedException extends Exception {
    private static final long serialVersionUID = 1L;

    CopyStoppedException(ResultCode code) {
        super(code.number() + " " + code.description());
    }
}

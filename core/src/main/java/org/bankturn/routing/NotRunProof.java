package org.bankturn.routing;

import java.util.Objects;
import org.bankturn.result.ResultCode;

/**
 * Proof that an attempt was not run, which only code that witnessed it can make.
 *
 * <p>There is no public constructor: each factory names what was witnessed. Whatever cannot call one of them must answer
 * that the outcome is unknown.
 *
 * <p>NotRunProof is thread-safe and immutable.
 */
public final class NotRunProof {
    private final ResultCode code;
    private final String witnessed;

    /**
     * Proves that the request was refused here, before any attempt to send it.
     *
     * @param code why, a code that says not run, not null
     * @return the proof, not null
     */
    public static NotRunProof refusedBeforeSending(ResultCode code) {
        return new NotRunProof(code, "refused before sending");
    }

    /**
     * Proves that no connection to the target came about, so that no byte of the request left.
     *
     * @return the proof, not null
     */
    public static NotRunProof neverConnected() {
        return new NotRunProof(ResultCode.NOT_RUN_NO_TARGET, "no connection came about");
    }

    /**
     * Proves that the target process turned the request away before its engine saw it.
     *
     * @param code the code that the target process answered with, one that says not run, not null
     * @return the proof, not null
     */
    public static NotRunProof rejectedByTargetProcess(ResultCode code) {
        return new NotRunProof(code, "rejected by the target process");
    }

    private NotRunProof(ResultCode code, String witnessed) {
        Objects.requireNonNull(code, "code must not be null");
        if (!code.isNotRun()) {
            throw new IllegalArgumentException("code does not say not run: " + code);
        }
        this.code = code;
        this.witnessed = witnessed;
    }

    /** Returns why it was not run, a code that says so, not null. */
    public ResultCode code() {
        return code;
    }

    @Override
    public String toString() {
        return "NotRunProof[" + code + ", " + witnessed + "]";
    }
}

package org.bankturn.routing;

import java.util.Objects;
import org.bankturn.result.ResultCode;

/**
 * Proof that an attempt was not executed.
 *
 * <p>There is no public constructor; each factory names the evidence. Code without such evidence must report an unknown
 * outcome.
 *
 * <p>NotRunProof is thread-safe and immutable.
 */
public final class NotRunProof {
    private final ResultCode code;
    private final String evidence;

    /**
     * Returns proof that the request was rejected before any attempt to send it.
     *
     * @param code the reason, a code for requests that were not executed, not null
     * @return the proof, not null
     */
    public static NotRunProof refusedBeforeSending(ResultCode code) {
        return new NotRunProof(code, "refused before sending");
    }

    /**
     * Returns proof that no connection to the target was established, so no data was sent.
     *
     * @return the proof, not null
     */
    public static NotRunProof neverConnected() {
        return new NotRunProof(ResultCode.NOT_RUN_NO_TARGET, "no connection established");
    }

    /**
     * Returns proof that the target process rejected the request before its engine received it.
     *
     * @param code the code in the response, one for requests that were not executed, not null
     * @return the proof, not null
     */
    public static NotRunProof rejectedByTargetProcess(ResultCode code) {
        return new NotRunProof(code, "rejected by the target process");
    }

    private NotRunProof(ResultCode code, String evidence) {
        Objects.requireNonNull(code, "code must not be null");
        if (!code.isNotRun()) {
            throw new IllegalArgumentException("result code does not mean that the request was not executed: " + code);
        }
        this.code = code;
        this.evidence = evidence;
    }

    /** Returns the reason, a code for requests that were not executed, not null. */
    public ResultCode code() {
        return code;
    }

    @Override
    public String toString() {
        return "NotRunProof[" + code + ", " + evidence + "]";
    }
}

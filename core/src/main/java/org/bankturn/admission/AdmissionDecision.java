package org.bankturn.admission;

import org.bankturn.result.ResultCode;

/** Whether a request is taken on. */
public sealed interface AdmissionDecision {
    /** It is taken on; the caller must call {@link FairAdmission#complete} once. */
    record Admitted() implements AdmissionDecision {}

    /**
     * It is refused at once.
     *
     * @param code why, not null
     * @param retryAfterMillis when to come back
     */
    record Refused(ResultCode code, long retryAfterMillis) implements AdmissionDecision {}
}

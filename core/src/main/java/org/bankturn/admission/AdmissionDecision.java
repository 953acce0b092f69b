package org.bankturn.admission;

import org.bankturn.result.ResultCode;

/** The result of an admission check. */
public sealed interface AdmissionDecision {
    /** The request is admitted; the caller must call {@link FairAdmission#complete} exactly once when it has ended. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The request is rejected without being queued.
     *
     * @param code the reason, not null
     * @param retryAfterMillis the recommended delay before a retry
     */
    record Refused(ResultCode code, long retryAfterMillis) implements AdmissionDecision {}
}

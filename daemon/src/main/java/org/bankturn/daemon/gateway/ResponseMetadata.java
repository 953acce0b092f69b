package org.bankturn.daemon.gateway;

import java.util.List;
import org.bankturn.routing.TargetNotice;

/**
 * Metadata of a target's response.
 *
 * @param status the HTTP status code
 * @param requestId the id of the request, null if not given
 * @param notRun true if the target states that it has not run the request and will not run it
 * @param weightsVersion the weights version that served the request, 0 if not given
 * @param notice the flow-control notice of the target, not null
 * @param unreadableFields the notice fields that could not be parsed, with their values, not null
 */
public record ResponseMetadata(
        int status,
        String requestId,
        boolean notRun,
        int weightsVersion,
        TargetNotice notice,
        List<String> unreadableFields) {
    private static final int MISDIRECTED = 421;

    public ResponseMetadata {
        unreadableFields = List.copyOf(unreadableFields);
    }

    /** Returns true if the response, and its notice, may come from a process other than the intended target. */
    boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** Returns true if the status is 2xx. */
    boolean isSuccess() {
        return status / 100 == 2;
    }
}

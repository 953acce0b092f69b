package org.bankturn.daemon.gateway;

import java.util.List;
import org.bankturn.routing.TargetNotice;

/**
 * What a target's head says.
 *
 * @param status the status
 * @param requestId the request it answers, null if it does not say
 * @param notRun true if the target says that it did not run the request and will not
 * @param weightsVersion the version of the weights that ran it, 0 if not told
 * @param notice what the target asks of its callers, not null
 * @param unreadableFields the fields that should say so and cannot be read, with their values, not null
 */
public record ResponseMetadata(
        int status,
        String requestId,
        boolean notRun,
        int weightsVersion,
        TargetNotice notice,
        List<String> unreadableFields) {
    private static final int MISDIRECTED = 421;

    /** Copies the list. */
    public ResponseMetadata {
        unreadableFields = List.copyOf(unreadableFields);
    }

    /** Returns true if it may come from another process than the target that was asked, whose wishes it then tells. */
    boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** Returns true if the target ran the request with success. */
    boolean isSuccess() {
        return status / 100 == 2;
    }
}

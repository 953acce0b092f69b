package org.bankturn.daemon.entry;

import io.activej.http.HttpMethod;
import org.bankturn.configuration.ClientAccount;
import org.bankturn.configuration.Service;

/**
 * A caller's request as read from HTTP, with everything that decides how it is handled.
 *
 * @param service the service that it is for, not null
 * @param account the client account that it is for, not null
 * @param method the HTTP method, not null
 * @param pathAndQuery what the target is asked for, not null
 * @param contentType the body's content type, null if it named none
 * @param accept what the caller accepts, null if it named nothing
 * @param body the whole body, not null
 * @param priority 0 to 9
 * @param deadlineMillis the time by which an answer must begin
 * @param safeToRepeat true if it may run more than once
 * @param idempotencyKey the caller's key, null if it gave none
 */
record CallerRequest(
        Service service,
        ClientAccount account,
        HttpMethod method,
        String pathAndQuery,
        String contentType,
        String accept,
        byte[] body,
        int priority,
        long deadlineMillis,
        boolean safeToRepeat,
        String idempotencyKey) {
    /** Returns true if the request has a key under which it runs at most once. */
    boolean hasKey() {
        return idempotencyKey != null;
    }
}

package org.bankturn.daemon.entry;

import io.activej.http.HttpMethod;
import org.bankturn.configuration.ClientAccount;
import org.bankturn.configuration.Service;

/**
 * A caller's HTTP request with the properties that determine how it is handled.
 *
 * @param service the requested service, not null
 * @param account the client account, not null
 * @param method the HTTP method, not null
 * @param pathAndQuery the path and query to request from the target, not null
 * @param contentType the content type of the body, null if absent
 * @param accept the Accept header, null if absent
 * @param body the complete body, not null
 * @param priority the priority, from 0 to 9
 * @param deadlineMillis the time by which the response must start
 * @param safeToRepeat true if the request may be executed more than once
 * @param idempotencyKey the idempotency key, null if absent
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
    /** Returns true if the request has an idempotency key, and so must be executed at most once. */
    boolean hasKey() {
        return idempotencyKey != null;
    }
}

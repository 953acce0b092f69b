package org.bankturn.daemon.gateway;

import org.bankturn.daemon.http.HttpHead;

/** How callers and targets write what the gateway must know: names and formats only. */
public interface RequestDialect {
    /** Returns what a caller says of its request, not null. */
    RequestMetadata parseRequest(HttpHead head);

    /** Returns the head that goes to a target, without framing, not null. */
    HttpHead buildTargetRequest(HttpHead head, ForwardingMetadata forwarding);

    /** Returns what a target's head says, not null. */
    ResponseMetadata parseResponse(HttpHead head);

    /**
     * Returns the head of an answer that the gateway gives itself.
     *
     * @param status the status
     * @param terms what the caller said, not null
     * @param comeBackMillis when to come back, 0 to say nothing
     */
    HttpHead buildResponse(int status, RequestMetadata terms, long comeBackMillis);
}

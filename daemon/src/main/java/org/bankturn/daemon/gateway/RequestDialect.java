package org.bankturn.daemon.gateway;

import org.bankturn.daemon.http.HttpHead;

/** Maps the gateway's request and response metadata to and from HTTP header fields. */
public interface RequestDialect {
    /** Parses the metadata of a caller's request, not null. */
    RequestMetadata parseRequest(HttpHead head);

    /** Returns the request head to send to a target, without framing fields, not null. */
    HttpHead buildTargetRequest(HttpHead head, ForwardingMetadata forwarding);

    /** Parses the metadata of a target's response, not null. */
    ResponseMetadata parseResponse(HttpHead head);

    /**
     * Returns the head of a response that the gateway generates itself.
     *
     * @param status the HTTP status code
     * @param metadata the metadata of the request, not null
     * @param retryAfterMillis the delay before a retry, 0 to omit it
     */
    HttpHead buildResponse(int status, RequestMetadata metadata, long retryAfterMillis);
}

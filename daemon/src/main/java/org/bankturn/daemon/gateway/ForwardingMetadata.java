package org.bankturn.daemon.gateway;

/**
 * Metadata that the gateway adds to a forwarded request.
 *
 * @param remainingMillis the time left until the request's deadline
 * @param targetName the name of the only target that may run the request, not null
 * @param account the caller's account, null if there is none
 * @param lastEventId the id of the last event that the caller received, null to pass on the caller's own field
 * @param urgency the priority, from 0 (highest) to 9
 */
public record ForwardingMetadata(
        long remainingMillis, String targetName, String account, String lastEventId, int urgency) {}

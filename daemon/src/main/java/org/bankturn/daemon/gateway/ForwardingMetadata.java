package org.bankturn.daemon.gateway;

/**
 * What the gateway says of a request to a target.
 *
 * @param remainingMillis how long the target may work
 * @param targetName what the target that may run it calls itself, not null
 * @param account the caller's account, null if there is none
 * @param lastEventId the event after which a stream goes on, null to take the caller's own word
 * @param weightsVersion the version of the weights that must run it, 0 for any
 * @param urgency 0 first to 9
 */
public record ForwardingMetadata(
        long remainingMillis, String targetName, String account, String lastEventId, int weightsVersion, int urgency) {}

package org.bankturn.daemon.gateway;

import org.bankturn.daemon.settings.Address;
import org.bankturn.routing.RetryLimits;

/**
 * What a gateway must be told.
 *
 * @param process its name, not null
 * @param dataHall the data hall it is in, not null
 * @param callerAddress where callers connect, not null
 * @param readyAddress where the platform asks whether it is ready, not null
 * @param nodeAddress where other processes of bankturn call this one; those beside targets have the same port, not null
 * @param retryLimits how often all gateways together may send a request again, not null
 * @param weightsDeadlineMillis how long after a version was named the former one may still run
 * @param stopTimeoutMillis how long a planned stop may take
 */
public record GatewaySettings(
        String process,
        String dataHall,
        Address callerAddress,
        Address readyAddress,
        Address nodeAddress,
        RetryLimits retryLimits,
        long weightsDeadlineMillis,
        long stopTimeoutMillis) {}

package org.bankturn.daemon.gateway;

import org.bankturn.daemon.settings.Address;
import org.bankturn.routing.RetryLimits;

/**
 * Settings of a gateway.
 *
 * @param process the name of the gateway process, not null
 * @param dataHall the data hall that it runs in, not null
 * @param callerAddress the address on which callers connect, not null
 * @param readyAddress the address of the readiness check, not null
 * @param nodeAddress the address for calls from other bankturn processes, not null; the processes beside targets
 *     listen on the same port
 * @param retryLimits the retry budget that all gateways share, not null
 * @param weightsDeadlineMillis how long requests may still start on the previous weights version after a new
 *     one is published
 * @param stopTimeoutMillis the maximum duration of a graceful shutdown
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

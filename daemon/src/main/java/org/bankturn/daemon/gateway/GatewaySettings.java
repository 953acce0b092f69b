package org.bankturn.daemon.gateway;

import org.bankturn.daemon.settings.Address;

/**
 * What a gateway must be told.
 *
 * @param process its name, not null
 * @param dataHall the data hall it is in, not null
 * @param callerAddress where callers connect, not null
 * @param readyAddress where the platform asks whether it is ready, not null
 * @param nodePort the port at which processes beside targets are asked
 * @param retryShare retries per request that all gateways together may send
 * @param retryAllowance retries on top of that share that all gateways together may send within a window
 * @param weightsDeadlineMillis how long after a version was named the former one may still run
 * @param stopMillis how long a planned stop may take
 */
public record GatewaySettings(
        String process,
        String dataHall,
        Address callerAddress,
        Address readyAddress,
        int nodePort,
        double retryShare,
        int retryAllowance,
        long weightsDeadlineMillis,
        long stopMillis) {}

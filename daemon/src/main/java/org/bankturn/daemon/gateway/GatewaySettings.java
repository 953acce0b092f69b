package org.bankturn.daemon.gateway;

import org.bankturn.daemon.settings.Address;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.RegionMap;

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
 * @param regions the region of each data hall, not null
 * @param heapBytes the maximum heap, from which the bounds on buffered messages derive
 */
public record GatewaySettings(
        String process,
        String dataHall,
        Address callerAddress,
        Address readyAddress,
        Address nodeAddress,
        RetryLimits retryLimits,
        long weightsDeadlineMillis,
        long stopTimeoutMillis,
        RegionMap regions,
        long heapBytes) {
    /** Creates the settings of a gateway with the heap of this process. */
    public GatewaySettings(
            String process,
            String dataHall,
            Address callerAddress,
            Address readyAddress,
            Address nodeAddress,
            RetryLimits retryLimits,
            long weightsDeadlineMillis,
            long stopTimeoutMillis,
            RegionMap regions) {
        this(
                process,
                dataHall,
                callerAddress,
                readyAddress,
                nodeAddress,
                retryLimits,
                weightsDeadlineMillis,
                stopTimeoutMillis,
                regions,
                Runtime.getRuntime().maxMemory());
    }

    /** Creates the settings of a gateway that knows no regions. */
    public GatewaySettings(
            String process,
            String dataHall,
            Address callerAddress,
            Address readyAddress,
            Address nodeAddress,
            RetryLimits retryLimits,
            long weightsDeadlineMillis,
            long stopTimeoutMillis) {
        this(
                process,
                dataHall,
                callerAddress,
                readyAddress,
                nodeAddress,
                retryLimits,
                weightsDeadlineMillis,
                stopTimeoutMillis,
                RegionMap.NONE);
    }
}

package org.bankturn.daemon.target;

import java.nio.file.Path;
import java.util.concurrent.Executor;
import org.bankturn.daemon.control.ControlClient;
import org.bankturn.daemon.observe.Telemetry;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.distribution.LinkRateLimiter;
import org.bankturn.time.Clock;

/**
 * Dependencies shared by the components of a target process.
 *
 * @param box the box's name, not null
 * @param clients connections to other processes, not null
 * @param control the client of the control group, not null
 * @param origin the client of the weights origin, not null
 * @param files the executor for blocking file I/O, not null
 * @param chunkFolder the folder that stores weights, not null
 * @param download the rate limiter of downloads to this box, not null
 * @param telemetry records metrics and traces, not null
 * @param clock the time source, not null
 */
record TargetContext(
        String box,
        NodeClients clients,
        ControlClient control,
        OriginClient origin,
        Executor files,
        Path chunkFolder,
        LinkRateLimiter download,
        Telemetry telemetry,
        Clock clock) {}

package org.bankturn.daemon.target;

import java.nio.file.Path;
import java.util.concurrent.Executor;
import org.bankturn.daemon.control.ControlClient;
import org.bankturn.daemon.observe.Telemetry;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.distribution.LinkRateLimiter;
import org.bankturn.time.Clock;

/**
 * What the parts of a target process share.
 *
 * @param box the box's name, not null
 * @param clients connections to other processes, not null
 * @param control the control boxes, not null
 * @param origin the origin of weights, not null
 * @param files runs what reads and writes files, not null
 * @param chunkFolder where weights are kept, not null
 * @param download the limit on what this box draws, not null
 * @param telemetry metrics and traces, not null
 * @param clock the time, not null
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

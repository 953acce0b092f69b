package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.time.Clock;

/**
 * The shared services of a process that copies weights.
 *
 * @param reactor the reactor of the process, not null
 * @param clients the clients for calls to other processes, not null
 * @param dialect the message formats of engines and origins, not null
 * @param clock the time source, not null
 * @param log the decision log, not null
 * @param metrics the metrics, not null
 */
public record WeightsDependencies(
        Eventloop reactor,
        NodeClients clients,
        WeightsDialect dialect,
        Clock clock,
        DecisionLog log,
        ServingMetrics metrics) {}

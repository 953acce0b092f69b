package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.time.Clock;

/**
 * What a process that copies weights has.
 *
 * @param reactor its reactor, not null
 * @param clients asks other processes, not null
 * @param dialect how engines and origins are spoken to, not null
 * @param clock the time, not null
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

package org.bankturn.service;

/**
 * A group of interchangeable targets.
 *
 * @param name the service name, not null
 * @param healthPath the path of the health check endpoint of a target, not null
 * @param maximumConnections the maximum number of connections to one target across all clients
 * @param engine the performance model of its engines, null for a plain service
 * @param weights the layout of its model weights, null if it has none
 * @param originAddress the host:port from which weights are fetched, null unless the service is an origin
 * @param originHall the data hall of the origin, null unless the service is an origin
 * @param slowStart how its targets start, not null
 */
public record Service(
        String name,
        String healthPath,
        int maximumConnections,
        EngineModel engine,
        WeightsLayout weights,
        String originAddress,
        String originHall,
        SlowStart slowStart) {
    /** Creates a service whose targets bear their full load at once. */
    public Service(
            String name,
            String healthPath,
            int maximumConnections,
            EngineModel engine,
            WeightsLayout weights,
            String originAddress,
            String originHall) {
        this(name, healthPath, maximumConnections, engine, weights, originAddress, originHall, SlowStart.NONE);
    }

    /** Returns true if this service is an origin of model weights. */
    public boolean isOrigin() {
        return originAddress != null;
    }
}

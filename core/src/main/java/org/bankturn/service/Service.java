package org.bankturn.service;

/**
 * A group of like targets.
 *
 * @param name the service's name, not null
 * @param healthPath where a target tells its health, not null
 * @param maximumConnections the connections that one target takes from all callers together
 * @param engine the model of its engines, null for a plain service
 * @param weights how its weights are cut up, null if it holds none
 * @param originAddress where weights are fetched from, host:port, null unless the service is an origin
 * @param originHall the data hall of the origin, null unless the service is an origin
 */
public record Service(
        String name,
        String healthPath,
        int maximumConnections,
        EngineModel engine,
        WeightsLayout weights,
        String originAddress,
        String originHall) {
    /** Returns true if this service hands out weights. */
    public boolean isOrigin() {
        return originAddress != null;
    }
}

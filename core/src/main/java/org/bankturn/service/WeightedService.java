package org.bankturn.service;

/**
 * A service that receives a weighted share of the requests of a route.
 *
 * @param service the service name, not null
 * @param weight its weight relative to the other services of the route, zero or more
 */
public record WeightedService(String service, int weight) {}

package org.bankturn.service;

/**
 * A service that takes part of a route's requests.
 *
 * @param service the service's name, not null
 * @param weight its share against the weights of the others, zero or more
 */
public record WeightedService(String service, int weight) {}

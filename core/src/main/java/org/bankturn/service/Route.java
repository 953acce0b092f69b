package org.bankturn.service;

import java.util.List;

/**
 * Which requests go to which services, and within what bounds.
 *
 * @param name the route's name, not null
 * @param host the host that requests name, not null
 * @param pathPrefix the beginning of their paths, with a slash at both ends, not null
 * @param kind what may be repeated, not null
 * @param timeoutMillis the longest that a request may be held, more than 0
 * @param objectiveMillis the time within which an answer is in time
 * @param priority the rank of the requests, 0 first
 * @param services the services that may run them, at least one with a weight above 0
 * @param maximumAttempts the targets that one request may be sent to
 * @param allowsAnonymous true if no key is needed
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<WeightedService> services,
        int maximumAttempts,
        boolean allowsAnonymous) {
    /** Copies the services. */
    public Route {
        services = List.copyOf(services);
    }

    /** Returns the sum of the services' weights. */
    public int totalWeight() {
        return services.stream().mapToInt(WeightedService::weight).sum();
    }

    /**
     * Returns the service that a draw falls on.
     *
     * @param draw any number; equal draws give equal services
     */
    public String selectService(long draw) {
        long left = Math.floorMod(draw, (long) totalWeight());
        for (WeightedService each : services) {
            left -= each.weight();
            if (left < 0) {
                return each.service();
            }
        }
        throw new IllegalStateException("route without weights: " + name);
    }
}

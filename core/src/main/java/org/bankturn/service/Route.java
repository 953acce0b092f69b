package org.bankturn.service;

import java.util.List;

/**
 * A rule that assigns requests to services and sets their limits.
 *
 * @param name the route name, not null
 * @param host the value of the Host header, not null
 * @param pathPrefix the path prefix, which starts and ends with a slash, not null
 * @param kind the retry and streaming semantics of the requests, not null
 * @param timeoutMillis the maximum duration of a request, more than 0
 * @param objectiveMillis the target response time
 * @param priority the priority of the requests, 0 being the highest
 * @param services the weighted services that execute the requests, at least one with a positive weight
 * @param maximumAttempts the maximum number of attempts per request
 * @param allowsAnonymous true if requests need no API key
 * @param allowedRegions the regions in which requests may be served, not null
 * @param maximumGapMillis the longest pause between two events of a stream that keeps it in time, 0 if unknown
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
        boolean allowsAnonymous,
        AllowedRegions allowedRegions,
        long maximumGapMillis) {
    /** Creates a route with a copy of the services. */
    public Route {
        services = List.copyOf(services);
    }

    /** Creates a route without a restriction of regions and without a known limit on pauses. */
    public Route(
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
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMillis,
                objectiveMillis,
                priority,
                services,
                maximumAttempts,
                allowsAnonymous,
                AllowedRegions.ANY,
                0);
    }

    /** Returns the sum of the service weights. */
    public int totalWeight() {
        return services.stream().mapToInt(WeightedService::weight).sum();
    }

    /**
     * Selects a service according to the weights.
     *
     * @param draw any number; equal numbers select the same service
     */
    public String selectService(long draw) {
        long remaining = Math.floorMod(draw, (long) totalWeight());
        for (WeightedService weighted : services) {
            remaining -= weighted.weight();
            if (remaining < 0) {
                return weighted.service();
            }
        }
        throw new IllegalStateException("route has no service with a positive weight: " + name);
    }
}

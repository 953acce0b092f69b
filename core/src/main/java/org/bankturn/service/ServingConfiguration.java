package org.bankturn.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Everything that operators published under one version, ready for look-ups.
 *
 * <p>ServingConfiguration is immutable and thread-safe. It may be built from contents that do not hold together; ask
 * {@link #problems()} before accepting one.
 */
public final class ServingConfiguration {
    private final long version;
    private final List<Route> routes;
    private final Map<String, Service> services;
    private final ClientLimits limits;
    private final List<Account> accounts;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Account> accountsByKey;
    private final List<String> problems;

    /**
     * Creates a configuration.
     *
     * @param version its version
     * @param routes its routes, not null
     * @param services its services, not null
     * @param limits what callers may send, not null
     * @param accounts its client accounts; without any, no request needs a key
     * @return the configuration, not null
     */
    public static ServingConfiguration of(
            long version, List<Route> routes, List<Service> services, ClientLimits limits, List<Account> accounts) {
        return new ServingConfiguration(version, routes, services, limits, accounts);
    }

    private ServingConfiguration(
            long version, List<Route> routes, List<Service> services, ClientLimits limits, List<Account> accounts) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.limits = limits;
        this.accounts = List.copyOf(accounts);
        this.services = new HashMap<>();
        this.routesByHost = new HashMap<>();
        this.accountsByKey = new HashMap<>();
        List<String> found = new ArrayList<>();
        for (Service service : services) {
            if (this.services.put(service.name(), service) != null) {
                found.add("service named twice: " + service.name());
            }
        }
        indexRoutes(found);
        indexKeys(found);
        this.problems = List.copyOf(found);
    }

    private void indexRoutes(List<String> found) {
        Set<String> places = new HashSet<>();
        for (Route route : routes) {
            if (!places.add(route.host() + " " + route.pathPrefix())) {
                found.add("two routes at " + route.host() + route.pathPrefix());
            }
            for (WeightedService each : route.services()) {
                if (!services.containsKey(each.service())) {
                    found.add("route " + route.name() + " names unknown service " + each.service());
                }
                if (each.weight() < 0) {
                    found.add("route " + route.name() + " has a weight below 0");
                }
            }
            if (route.totalWeight() <= 0) {
                found.add("route " + route.name() + " has no weight");
            }
            if (route.timeoutMillis() <= 0) {
                found.add("route " + route.name() + " has no timeout");
            }
            routesByHost.computeIfAbsent(route.host(), key -> new ArrayList<>()).add(route);
        }
        routesByHost
                .values()
                .forEach(list -> list.sort((one, other) -> Integer.compare(
                        other.pathPrefix().length(), one.pathPrefix().length())));
    }

    private void indexKeys(List<String> found) {
        for (Account account : accounts) {
            for (String key : account.keys()) {
                Account other = accountsByKey.put(key, account);
                if (other != null && !other.name().equals(account.name())) {
                    found.add("accounts " + other.name() + " and " + account.name() + " share a key");
                }
            }
        }
    }

    /** Returns the version. */
    public long version() {
        return version;
    }

    /** Returns the routes, not null. */
    public List<Route> routes() {
        return routes;
    }

    /** Returns the services by name, not null. */
    public Map<String, Service> services() {
        return Map.copyOf(services);
    }

    /** Returns a service, empty if there is none of that name. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the origin of weights, empty if there is none. */
    public Optional<Service> origin() {
        return services.values().stream().filter(Service::isOrigin).findFirst();
    }

    /**
     * Returns true if every request that a service may run can be repeated or taken up at another of its targets.
     *
     * @param service the service's name, not null
     */
    public boolean areAllRequestsRetryable(String service) {
        return routes.stream()
                .filter(route -> route.services().stream()
                        .anyMatch(share -> share.weight() > 0 && share.service().equals(service)))
                .allMatch(route -> route.kind().isRetryable() && route.maximumAttempts() > 1);
    }

    /** Returns what callers may send, not null. */
    public ClientLimits limits() {
        return limits;
    }

    /** Returns true if requests need keys. */
    public boolean hasAccounts() {
        return !accounts.isEmpty();
    }

    /** Returns the account that a key speaks for, empty if none does. */
    public Optional<Account> accountForKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Returns the route with the longest prefix that begins the path, empty if none does. */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns why this configuration must not be accepted, empty if it holds together. */
    public List<String> problems() {
        return problems;
    }

    @Override
    public String toString() {
        return "ServingConfiguration[version " + version + ", " + routes.size() + " routes]";
    }
}

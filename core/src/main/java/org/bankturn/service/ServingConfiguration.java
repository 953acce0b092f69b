package org.bankturn.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * An indexed version of the configuration document that operators publish.
 *
 * <p>ServingConfiguration is immutable and thread-safe. An instance may be inconsistent; check {@link #problems()} before
 * using it.
 */
public final class ServingConfiguration {
    private final long version;
    private final List<Route> routes;
    private final Map<String, Service> services;
    private final ClientLimits limits;
    private final List<Account> accounts;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Account> accountsByKey;
    private final Map<String, Account> accountsByName;
    private final Map<String, List<Route>> routesByName;
    private final List<String> problems;

    /**
     * Creates a configuration.
     *
     * @param version the version of the document
     * @param routes the routes, not null
     * @param services the services, not null
     * @param limits the limits for client connections, not null
     * @param accounts the client accounts, not null; if empty, requests need no API key
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
        this.accountsByName = new HashMap<>();
        this.routesByName = routes.stream().collect(Collectors.groupingBy(Route::name));
        List<String> errors = new ArrayList<>();
        for (Service service : services) {
            if (this.services.put(service.name(), service) != null) {
                errors.add("duplicate service: " + service.name());
            }
        }
        indexRoutes(errors);
        indexKeys(errors);
        this.problems = List.copyOf(errors);
    }

    private void indexRoutes(List<String> errors) {
        Set<String> prefixes = new HashSet<>();
        for (Route route : routes) {
            if (!prefixes.add(route.host() + " " + route.pathPrefix())) {
                errors.add("duplicate route for " + route.host() + route.pathPrefix());
            }
            for (WeightedService weighted : route.services()) {
                if (!services.containsKey(weighted.service())) {
                    errors.add("route " + route.name() + " refers to unknown service " + weighted.service());
                }
                if (weighted.weight() < 0) {
                    errors.add("route " + route.name() + " has a negative weight");
                }
            }
            if (route.totalWeight() <= 0) {
                errors.add("route " + route.name() + " has no service with a positive weight");
            }
            if (route.timeoutMillis() <= 0) {
                errors.add("route " + route.name() + " has no positive timeout");
            }
            routesByHost.computeIfAbsent(route.host(), key -> new ArrayList<>()).add(route);
        }
        routesByHost
                .values()
                .forEach(list -> list.sort((left, right) -> Integer.compare(
                        right.pathPrefix().length(), left.pathPrefix().length())));
    }

    private void indexKeys(List<String> errors) {
        for (Account account : accounts) {
            accountsByName.merge(account.name(), account, ServingConfiguration::withCommonRegions);
            for (String key : account.keys()) {
                Account other = accountsByKey.put(key, account);
                if (other != null && !other.name().equals(account.name())) {
                    errors.add("accounts " + other.name() + " and " + account.name() + " use the same API key");
                }
            }
        }
    }

    /** Returns the account restricted to the regions that another entry of the same name allows as well. */
    private static Account withCommonRegions(Account account, Account other) {
        return new Account(
                account.name(),
                account.keys(),
                account.priority(),
                account.allowedRegions().and(other.allowedRegions()));
    }

    /** Returns the version of the document. */
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

    /** Returns the service with a name, empty if there is none. */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the service that is the origin of model weights, empty if there is none. */
    public Optional<Service> origin() {
        return services.values().stream().filter(Service::isOrigin).findFirst();
    }

    /**
     * Returns true if every request that a service may receive can be retried or resumed at another of its targets.
     *
     * @param service the service name, not null
     */
    public boolean areAllRequestsRetryable(String service) {
        return routesTo(service).allMatch(route -> route.kind().isRetryable() && route.maximumAttempts() > 1);
    }

    /** Returns true if a route to a service allows streams that another target resumes. */
    public boolean hasResumableStreams(String service) {
        return routesTo(service).anyMatch(route -> route.kind() == RequestKind.RESUMABLE_STREAM);
    }

    private Stream<Route> routesTo(String service) {
        return routes.stream()
                .filter(route -> route.services().stream()
                        .anyMatch(weighted ->
                                weighted.weight() > 0 && weighted.service().equals(service)));
    }

    /** Returns the limits for client connections, not null. */
    public ClientLimits limits() {
        return limits;
    }

    /** Returns true if requests need an API key, except on anonymous routes. */
    public boolean hasAccounts() {
        return !accounts.isEmpty();
    }

    /** Returns the account that an API key belongs to, empty if the key is unknown. */
    public Optional<Account> accountForKey(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Returns the route with the longest matching path prefix, empty if none matches. */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the account with a name, empty if there is none. */
    public Optional<Account> account(String name) {
        return Optional.ofNullable(accountsByName.get(name));
    }

    /**
     * Returns the form that a route of an earlier version has in this one, empty if it was removed. Names of routes need
     * not be unique, so the host and the path prefix decide between routes of one name.
     */
    public Optional<Route> currentForm(Route earlier) {
        List<Route> named = routesByName.getOrDefault(earlier.name(), List.of());
        return named.stream()
                .filter(route -> route.host().equals(earlier.host())
                        && route.pathPrefix().equals(earlier.pathPrefix()))
                .findFirst()
                .or(() ->
                        named.size() == 1 && !earlier.name().isEmpty() ? Optional.of(named.get(0)) : Optional.empty());
    }

    /** Returns the names of all regions to which routes and accounts are restricted, not null. */
    public Set<String> namedRegions() {
        return Stream.concat(
                        routes.stream().map(Route::allowedRegions),
                        accounts.stream().map(Account::allowedRegions))
                .flatMap(regions -> regions.names().stream())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the validation errors, empty if the configuration is consistent. */
    public List<String> problems() {
        return problems;
    }

    @Override
    public String toString() {
        return "ServingConfiguration[version " + version + ", " + routes.size() + " routes]";
    }
}

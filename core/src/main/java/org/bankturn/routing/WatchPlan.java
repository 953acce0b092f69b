package org.bankturn.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Determines the engines that one gateway watches.
 *
 * <p>Load pattern: many gateways and many engines. If each gateway watched all engines, polls would grow with their
 * product and all gateways would choose by the same reports. The engines and gateways of a data hall are placed on a
 * ring, and each gateway watches an arc that starts at its own position: every engine is watched by several gateways,
 * and a gateway or engine that joins or leaves moves the others by at most one position. The arc is long enough for the
 * gateway's own requests, since callers are spread unevenly. Some engines of other halls are watched for when the local
 * ones are full.
 *
 * <p>WatchPlan is immutable and thread-safe.
 */
public final class WatchPlan {
    private final PlacementSettings settings;
    private final String gateway;
    private final String dataHall;

    /**
     * An engine that may be watched.
     *
     * @param id its incarnation, not null
     * @param dataHall the data hall that it is in, not null
     * @param slots the number of concurrent requests
     */
    public record Engine(String id, String dataHall, int slots) {}

    /**
     * Returns the plan of a gateway, not null.
     *
     * @param settings the placement settings, not null
     * @param gateway its name as known to other gateways, not null
     * @param dataHall the data hall that it is in, not null
     */
    public static WatchPlan of(PlacementSettings settings, String gateway, String dataHall) {
        return new WatchPlan(settings, gateway, dataHall);
    }

    private WatchPlan(PlacementSettings settings, String gateway, String dataHall) {
        this.settings = settings;
        this.gateway = gateway;
        this.dataHall = dataHall;
    }

    /**
     * Returns the engines to watch, not null.
     *
     * @param engines the current engines, not null
     * @param localGateways the gateways of the same data hall, with or without this one, not null
     * @param inFlight the recent peak of this gateway's requests in flight at engines
     */
    public Set<String> watched(List<Engine> engines, Set<String> localGateways, int inFlight) {
        List<Engine> local = new ArrayList<>();
        List<Engine> remote = new ArrayList<>();
        for (Engine engine : engines) {
            (engine.dataHall().equals(dataHall) ? local : remote).add(engine);
        }
        Set<String> watched = new HashSet<>();
        arc(local, localGateways, inFlight).forEach(engine -> watched.add(engine.id()));
        int remoteCount = Math.max(settings.minWatchedRemote(), settings.minWatchedTotal() - watched.size());
        if (local.isEmpty()) {
            // as in an evacuated hall: engines elsewhere serve all requests of this gateway
            remoteCount = Math.max(remoteCount, (int) Math.ceil(enginesForOwnRequests(remote, inFlight)));
        }
        remote.stream()
                .sorted(Comparator.comparingLong(engine -> TextHash.of(gateway + " " + engine.id())))
                .limit(remoteCount)
                .forEach(engine -> watched.add(engine.id()));
        return watched;
    }

    private List<Engine> arc(List<Engine> local, Set<String> localGateways, int inFlight) {
        Set<String> gateways = new HashSet<>(localGateways);
        gateways.add(gateway);
        int length = arcLength(local, gateways.size(), inFlight);
        if (length >= local.size()) {
            return local;
        }
        List<Engine> ring = local.stream()
                .sorted(Comparator.comparingLong((Engine engine) -> TextHash.of(engine.id()))
                        .thenComparing(Engine::id))
                .toList();
        List<String> gatewayOrder = gateways.stream()
                .sorted(Comparator.comparingLong(TextHash::of).thenComparing(Comparator.naturalOrder()))
                .toList();
        int first = (int) ((long) gatewayOrder.indexOf(gateway) * ring.size() / gatewayOrder.size());
        List<Engine> arc = new ArrayList<>();
        for (int step = 0; step < length; step++) {
            arc.add(ring.get((first + step) % ring.size()));
        }
        return arc;
    }

    private int arcLength(List<Engine> local, int gateways, int inFlight) {
        double forOwnRequests = enginesForOwnRequests(local, inFlight);
        double forCoverage = settings.minWatchersPerEngine() * local.size() / gateways;
        return (int) Math.max(settings.minWatchedLocal(), Math.ceil(Math.max(forOwnRequests, forCoverage)));
    }

    /** Returns how many engines to watch for the gateway's own requests. */
    private double enginesForOwnRequests(List<Engine> engines, int inFlight) {
        int slots = engines.stream().mapToInt(Engine::slots).max().orElse(1);
        return settings.watchedPerFilledEngine() * inFlight / Math.max(1, slots);
    }
}

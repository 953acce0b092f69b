package org.bankturn.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which engines one gateway watches.
 *
 * <p>Load pattern: many gateways before many engines. If each watches all, the questions grow with their product, and all
 * choose by the same news. Engines and gateways of a data hall stand on a ring, and each gateway watches a stretch of it
 * that begins at its own place: every engine is watched by several gateways, evenly, and a gateway or engine that comes or
 * goes moves the others by a place at most. The stretch is wide enough for the gateway's own requests, since callers are
 * spread unevenly. Some engines of other halls are watched besides, for the moments when the own hall's are full.
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
     * @param slots the requests that it runs at once
     */
    public record Engine(String id, String dataHall, int slots) {}

    /**
     * Returns the plan of a gateway, not null.
     *
     * @param settings how many engines are watched, not null
     * @param gateway its name, as the other gateways know it, not null
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
     * @param engines the engines that are there, not null
     * @param localGateways the gateways of the same data hall, with or without this one, not null
     * @param inFlight the requests that this gateway has under way at engines, at its busiest of late
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
        int slots = local.stream().mapToInt(Engine::slots).max().orElse(1);
        double forOwnRequests = settings.watchedPerFilledEngine() * inFlight / Math.max(1, slots);
        double forCoverage = settings.minWatchersPerEngine() * local.size() / gateways;
        return (int) Math.max(settings.minWatchedLocal(), Math.ceil(Math.max(forOwnRequests, forCoverage)));
    }
}

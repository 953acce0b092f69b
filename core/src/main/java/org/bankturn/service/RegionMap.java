package org.bankturn.service;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The region of each data hall of a deployment.
 *
 * <p>RegionMap is immutable and thread-safe.
 *
 * @param regionByDataHall the name of the region by data hall, not null
 */
public record RegionMap(Map<String, String> regionByDataHall) {
    /** A map that knows no data hall. */
    public static final RegionMap NONE = new RegionMap(Map.of());

    /** Copies the map. */
    public RegionMap {
        regionByDataHall = Map.copyOf(regionByDataHall);
    }

    /** Returns the region of a data hall, null if it is unknown. */
    public String regionOf(String dataHall) {
        return regionByDataHall.get(dataHall);
    }

    /** Returns true if the data hall is known. */
    public boolean containsDataHall(String dataHall) {
        return regionByDataHall.containsKey(dataHall);
    }

    /**
     * Returns a region that a configuration names and no data hall has, empty if there is none. Without any known region,
     * the names cannot be checked.
     */
    public Optional<String> unknownRegion(ServingConfiguration configuration) {
        if (regionByDataHall.isEmpty()) {
            return Optional.empty();
        }
        return configuration.namedRegions().stream()
                .filter(region -> !regionByDataHall.containsValue(region))
                .min(Comparator.naturalOrder());
    }

    /** Returns the names of the known regions, not null. */
    public Set<String> regions() {
        Collection<String> regions = regionByDataHall.values();
        return Set.copyOf(regions);
    }
}

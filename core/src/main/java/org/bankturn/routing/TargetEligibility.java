package org.bankturn.routing;

import org.bankturn.registry.TargetSighting;
import org.bankturn.service.AllowedRegions;
import org.bankturn.service.RegionMap;

/**
 * Decides whether a target may serve a request at all, whatever its load and flow control.
 *
 * <p>TargetEligibility is not thread-safe.
 */
final class TargetEligibility {
    private final RegionMap regions;

    /** Returns the rules of a deployment with the given regions, not null. */
    static TargetEligibility of(RegionMap regions) {
        return new TargetEligibility(regions);
    }

    private TargetEligibility(RegionMap regions) {
        this.regions = regions;
    }

    /** Returns true if a target may serve a request. */
    boolean isEligible(TargetState state, Requirements requirements) {
        return isInRegions(state, requirements.regions()) && isEligibleInAnyRegion(state, requirements);
    }

    /** Returns true if a target may serve a request in every respect but its region. */
    boolean isExcludedByRegion(TargetState state, Requirements requirements) {
        return !isInRegions(state, requirements.regions()) && isEligibleInAnyRegion(state, requirements);
    }

    /** Returns true if a target is in one of the regions; in a data hall without a known region only if any is allowed. */
    boolean isInRegions(TargetState state, AllowedRegions allowed) {
        return allowed.isAny()
                || allowed.permits(regions.regionOf(state.sighting().dataHall()));
    }

    private static boolean isEligibleInAnyRegion(TargetState state, Requirements requirements) {
        TargetSighting sighting = state.sighting();
        boolean hasWeights =
                requirements.minVersion() < 0 || state.heldVersion() >= Math.max(1, requirements.minVersion());
        return sighting.service().equals(requirements.service().name())
                && !sighting.draining()
                && hasWeights
                && !requirements.excluded().contains(sighting.id());
    }
}

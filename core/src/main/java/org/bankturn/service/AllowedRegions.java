package org.bankturn.service;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The regions in which requests may be served.
 *
 * <p>AllowedRegions is immutable and thread-safe.
 */
public final class AllowedRegions {
    /** No restriction. */
    public static final AllowedRegions ANY = new AllowedRegions(null);

    /** The permitted regions, null for any. */
    private final Set<String> regions;

    /**
     * Returns a restriction to the given regions, not null.
     *
     * @param regions the names of the regions; none means that any region is permitted, not null
     */
    public static AllowedRegions of(Collection<String> regions) {
        return regions.isEmpty() ? ANY : new AllowedRegions(Set.copyOf(regions));
    }

    private AllowedRegions(Set<String> regions) {
        this.regions = regions;
    }

    /** Returns true if any region is permitted. */
    public boolean isAny() {
        return regions == null;
    }

    /**
     * Returns true if a region is permitted.
     *
     * @param region the name of the region, null if unknown; an unknown region is permitted only if any is
     */
    public boolean permits(String region) {
        return regions == null || (region != null && regions.contains(region));
    }

    /** Returns the regions that both restrictions permit; possibly no region at all, not null. */
    public AllowedRegions and(AllowedRegions other) {
        if (isAny()) {
            return other;
        }
        if (other.isAny()) {
            return this;
        }
        Set<String> common = new HashSet<>(regions);
        common.retainAll(other.regions);
        return new AllowedRegions(Set.copyOf(common));
    }

    /** Returns the permitted regions, empty if any is permitted, not null. */
    public Set<String> names() {
        return isAny() ? Set.of() : regions;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AllowedRegions that && isAny() == that.isAny() && names().equals(that.names());
    }

    @Override
    public int hashCode() {
        return isAny() ? 0 : regions.hashCode();
    }

    @Override
    public String toString() {
        return isAny() ? "any region" : "regions " + regions;
    }
}

package org.bankturn.daemon.weights;

import java.util.Map;
import java.util.TreeMap;

/**
 * Keeps the manifests of the newest versions that were copied here, for boxes whose process was restarted.
 *
 * <p>This class is confined to its reactor's thread.
 */
final class RecentManifests {
    /** The origin serves two versions; boxes may still hold older ones while versions come in quick succession. */
    private static final int MAX_VERSIONS = 6;

    private final TreeMap<Integer, byte[]> manifests = new TreeMap<>();

    /** Keeps the manifest of a version. */
    void keep(int version, byte[] manifest) {
        manifests.put(version, manifest);
        if (manifests.size() > MAX_VERSIONS) {
            manifests.pollFirstEntry();
        }
    }

    /** Returns the manifest of a version, null if it is not kept. */
    byte[] manifest(int version) {
        return manifests.get(version);
    }

    /** Returns the kept manifests by version, oldest first, not null. */
    Map<Integer, byte[]> all() {
        return Map.copyOf(manifests);
    }
}

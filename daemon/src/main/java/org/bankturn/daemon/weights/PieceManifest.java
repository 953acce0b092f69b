package org.bankturn.daemon.weights;

import java.util.List;

/**
 * Describes the pieces of one version of a model's weights.
 *
 * @param model the model, not null
 * @param version the version
 * @param digests the SHA-256 of each piece, in hexadecimal, not null
 */
public record PieceManifest(String model, int version, List<String> digests) {
    /** Makes a defensive copy of the digests. */
    public PieceManifest {
        digests = List.copyOf(digests);
    }
}

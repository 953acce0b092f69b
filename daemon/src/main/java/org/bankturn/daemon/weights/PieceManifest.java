package org.bankturn.daemon.weights;

import java.util.List;

/**
 * The pieces of a version of a model's weights.
 *
 * @param model the model, not null
 * @param version the version
 * @param digests the SHA-256 of each piece, in hexadecimal, not null
 */
public record PieceManifest(String model, int version, List<String> digests) {
    /** Copies the digests. */
    public PieceManifest {
        digests = List.copyOf(digests);
    }
}

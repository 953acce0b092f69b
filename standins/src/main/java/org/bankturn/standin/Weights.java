package org.bankturn.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bankturn.configuration.Digest;
import org.bankturn.distribution.Manifest;

/**
 * Pseudo-random weights, reproducible from a seed.
 *
 * @param bytes the weights, not null
 * @param manifest their manifest, not null
 */
public record Weights(byte[] bytes, Manifest manifest) {
    /**
     * Generates weights.
     *
     * @param seed the seed of the content
     * @param totalBytes the size
     * @param chunkBytes the size of a chunk
     * @return the weights, not null
     */
    public static Weights generate(long seed, int totalBytes, int chunkBytes) {
        byte[] bytes = new byte[totalBytes];
        new Random(seed).nextBytes(bytes);
        List<String> digests = new ArrayList<>();
        for (int offset = 0; offset < totalBytes; offset += chunkBytes) {
            byte[] chunk = new byte[Math.min(chunkBytes, totalBytes - offset)];
            System.arraycopy(bytes, offset, chunk, 0, chunk.length);
            digests.add(Digest.of(chunk));
        }
        return new Weights(bytes, Manifest.of(totalBytes, chunkBytes, digests));
    }

    /** Returns the SHA-256 of all bytes, as engines report it, not null. */
    public String digest() {
        return Digest.of(bytes);
    }
}

package org.bankturn.routing;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Hashes strings evenly and identically in every process.
 *
 * <p>TextHash has no state.
 */
final class TextHash {
    private TextHash() {}

    static long of(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue();
    }

    /**
     * Returns the candidate responsible for a key (rendezvous hashing): adding or removing a candidate moves only its
     * own keys.
     */
    static Optional<String> responsible(String key, Collection<String> candidates) {
        return candidates.stream()
                .max(Comparator.comparingLong((String candidate) -> of(candidate + " " + key))
                        .thenComparing(Comparator.naturalOrder()));
    }
}

package org.bankturn.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bankturn.configuration.Digest;

/**
 * Lists the SHA-256 digests of a version's chunks, which are of equal size except for the last.
 *
 * <p>A version is identified by the digest of its manifest's text, so a manifest from an untrusted source can be verified.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class Manifest {
    private static final String FIRST_LINE = "bankturn-manifest 1";
    private static final int DIGEST_LENGTH = 64;
    private static final int HEADER_LINES = 3;

    private final long totalBytes;
    private final int chunkBytes;
    private final List<String> chunkDigests;
    private final String text;
    private final String digest;

    /**
     * Creates a manifest.
     *
     * @param totalBytes the size of the weights, at least 1
     * @param chunkBytes the size of every chunk but the last, at least 1
     * @param chunkDigests the SHA-256 of each chunk, in order, not null
     * @return the manifest, not null
     */
    public static Manifest of(long totalBytes, int chunkBytes, List<String> chunkDigests) {
        return new Manifest(totalBytes, chunkBytes, chunkDigests);
    }

    /**
     * Parses a manifest and verifies it against its digest.
     *
     * @param text the text of the manifest, not null
     * @param expectedDigest the digest that identifies the version, not null
     * @return the manifest, empty if the text is malformed or does not match the digest
     */
    public static Optional<Manifest> parse(String text, String expectedDigest) {
        if (!Digest.of(text).equals(expectedDigest)) {
            return Optional.empty();
        }
        List<String> lines = text.lines().toList();
        if (lines.size() < HEADER_LINES + 1 || !lines.get(0).equals(FIRST_LINE)) {
            return Optional.empty();
        }
        try {
            List<String> digests = lines.subList(HEADER_LINES, lines.size());
            return Optional.of(of(Long.parseLong(lines.get(1)), Integer.parseInt(lines.get(2)), digests));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private Manifest(long totalBytes, int chunkBytes, List<String> chunkDigests) {
        if (totalBytes < 1 || chunkBytes < 1) {
            throw new IllegalArgumentException(
                    "sizes must be positive: totalBytes=" + totalBytes + ", chunkBytes=" + chunkBytes);
        }
        if ((totalBytes + chunkBytes - 1) / chunkBytes != chunkDigests.size()) {
            throw new IllegalArgumentException(
                    "number of chunk digests does not match the sizes: " + chunkDigests.size());
        }
        if (chunkDigests.stream().anyMatch(chunk -> chunk.length() != DIGEST_LENGTH)) {
            throw new IllegalArgumentException("chunk digest is not a SHA-256 in hexadecimal");
        }
        this.totalBytes = totalBytes;
        this.chunkBytes = chunkBytes;
        this.chunkDigests = List.copyOf(chunkDigests);
        List<String> lines = new ArrayList<>(List.of(FIRST_LINE, "" + totalBytes, "" + chunkBytes));
        lines.addAll(chunkDigests);
        this.text = String.join("\n", lines) + "\n";
        this.digest = Digest.of(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the SHA-256 of {@link #text()}, which identifies the version, not null. */
    public String digest() {
        return digest;
    }

    /** Returns the text format of the manifest, not null. */
    public String text() {
        return text;
    }

    /** Returns the size of the weights in bytes. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the number of chunks, at least 1. */
    public int chunkCount() {
        return chunkDigests.size();
    }

    /**
     * Returns the offset of a chunk.
     *
     * @param chunk the chunk's number, from 0
     * @return the offset in bytes
     */
    public long offsetOf(int chunk) {
        return (long) chunk * chunkBytes;
    }

    /**
     * Returns the size of a chunk.
     *
     * @param chunk the chunk's number, from 0
     * @return its size in bytes
     */
    public int sizeOf(int chunk) {
        return (int) Math.min(chunkBytes, totalBytes - offsetOf(chunk));
    }

    /**
     * Returns true if bytes match a chunk.
     *
     * @param chunk the chunk's number, from 0
     * @param bytes the bytes, not null
     * @return true if the size and the digest match
     */
    public boolean matches(int chunk, byte[] bytes) {
        return bytes.length == sizeOf(chunk) && Digest.of(bytes).equals(chunkDigests.get(chunk));
    }

    @Override
    public String toString() {
        return "Manifest[" + digest.substring(0, 12) + ", " + chunkCount() + " chunks]";
    }
}

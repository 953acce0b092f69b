package org.bankturn.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bankturn.configuration.Digest;

/**
 * What a version consists of: chunks of equal size, the last one shorter, each with its SHA-256.
 *
 * <p>A version is named by the digest of its manifest's text, so a manifest from anyone can be checked.
 *
 * <p>Manifest is thread-safe and immutable.
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
     * Describes weights.
     *
     * @param totalBytes the size of the weights, from 1
     * @param chunkBytes the size of every chunk but the last, from 1
     * @param chunkDigests the SHA-256 of each chunk, in order, not null
     * @return the manifest, not null
     */
    public static Manifest of(long totalBytes, int chunkBytes, List<String> chunkDigests) {
        return new Manifest(totalBytes, chunkBytes, chunkDigests);
    }

    /**
     * Reads a manifest and checks it against the digest that names it.
     *
     * @param text the text, not null
     * @param expectedDigest the digest, not null
     * @return the manifest, empty if the text is not the one that the digest names
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
            throw new IllegalArgumentException("sizes must be positive: " + totalBytes + ", " + chunkBytes);
        }
        if ((totalBytes + chunkBytes - 1) / chunkBytes != chunkDigests.size()) {
            throw new IllegalArgumentException("wrong number of chunks: " + chunkDigests.size());
        }
        if (chunkDigests.stream().anyMatch(chunk -> chunk.length() != DIGEST_LENGTH)) {
            throw new IllegalArgumentException("a chunk's digest is not a SHA-256");
        }
        this.totalBytes = totalBytes;
        this.chunkBytes = chunkBytes;
        this.chunkDigests = List.copyOf(chunkDigests);
        List<String> lines = new ArrayList<>(List.of(FIRST_LINE, "" + totalBytes, "" + chunkBytes));
        lines.addAll(chunkDigests);
        this.text = String.join("\n", lines) + "\n";
        this.digest = Digest.of(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the SHA-256 of {@link #text()}, which names the version, not null. */
    public String digest() {
        return digest;
    }

    /** Returns the text that is fetched and checked, not null. */
    public String text() {
        return text;
    }

    /** Returns the size of the weights in bytes. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns the number of chunks, from 1. */
    public int chunkCount() {
        return chunkDigests.size();
    }

    /**
     * Returns where a chunk begins.
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
     * Tells whether bytes are a chunk.
     *
     * @param chunk the chunk's number, from 0
     * @param bytes the bytes, not null
     * @return true if their size and digest are the chunk's
     */
    public boolean matches(int chunk, byte[] bytes) {
        return bytes.length == sizeOf(chunk) && Digest.of(bytes).equals(chunkDigests.get(chunk));
    }

    @Override
    public String toString() {
        return "Manifest[" + digest.substring(0, 12) + ", " + chunkCount() + " chunks]";
    }
}

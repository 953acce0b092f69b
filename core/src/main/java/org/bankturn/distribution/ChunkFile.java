package org.bankturn.distribution;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.BitSet;
import org.bankturn.configuration.Digest;

/**
 * A file with the chunks of one version's weights.
 *
 * <p>Chunks are verified before they are stored, and again when the file is opened; only stored chunks can be read. The file
 * is complete once every chunk is stored and {@link #verifyAll()} has read all of it back.
 *
 * <p>This class is thread-safe.
 */
public final class ChunkFile implements AutoCloseable {
    private final Manifest manifest;
    private final Path path;
    private final FileChannel channel;
    private final BitSet storedChunks = new BitSet();

    /**
     * Opens the file of a version, creating it if necessary, and verifies its chunks.
     *
     * @param folder the directory of chunk files, not null
     * @param manifest the manifest of the version, not null
     * @return the file, not null
     * @throws IOException if the file cannot be created or read
     */
    public static ChunkFile open(Path folder, Manifest manifest) throws IOException {
        Files.createDirectories(folder);
        Path path = folder.resolve(manifest.digest() + ".weights");
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        ChunkFile file = new ChunkFile(manifest, path, channel);
        file.verifyChunks();
        return file;
    }

    private ChunkFile(Manifest manifest, Path path, FileChannel channel) {
        this.manifest = manifest;
        this.path = path;
        this.channel = channel;
    }

    /** Returns the manifest of the version, not null. */
    public Manifest manifest() {
        return manifest;
    }

    /** Returns the path of the file, from which the engine loads the weights once complete, not null. */
    public Path path() {
        return path;
    }

    /** Returns a copy of the set of stored chunks, not null. */
    public synchronized BitSet storedChunks() {
        return (BitSet) storedChunks.clone();
    }

    /** Returns true if every chunk is stored. */
    public synchronized boolean isComplete() {
        return storedChunks.cardinality() == manifest.chunkCount();
    }

    /**
     * Stores a chunk if it matches the manifest.
     *
     * @param chunk the chunk's number
     * @param bytes the received bytes, not null
     * @return false if the bytes do not match and were discarded
     * @throws IOException if the chunk cannot be written
     */
    public boolean store(int chunk, byte[] bytes) throws IOException {
        if (!manifest.matches(chunk, bytes)) {
            return false;
        }
        synchronized (this) {
            write(manifest.offsetOf(chunk), bytes);
            storedChunks.set(chunk);
        }
        return true;
    }

    /**
     * Reads a stored chunk.
     *
     * @param chunk the chunk's number
     * @return the bytes, null if the chunk is not stored
     * @throws IOException if the chunk cannot be read
     */
    public synchronized byte[] read(int chunk) throws IOException {
        return storedChunks.get(chunk) ? readAt(chunk) : null;
    }

    /**
     * Reads back and verifies every chunk; corrupt chunks no longer count as stored.
     *
     * @return true if every chunk is stored and valid
     * @throws IOException if the file cannot be read
     */
    public synchronized boolean verifyAll() throws IOException {
        if (!isComplete()) {
            return false;
        }
        channel.force(true);
        verifyChunks();
        return isComplete();
    }

    /**
     * Closes and deletes the file.
     *
     * @throws IOException if the file cannot be deleted
     */
    public synchronized void delete() throws IOException {
        storedChunks.clear();
        channel.close();
        Files.deleteIfExists(path);
    }

    @Override
    public synchronized void close() throws IOException {
        channel.close();
    }

    private synchronized void verifyChunks() throws IOException {
        storedChunks.clear();
        for (int chunk = 0; chunk < manifest.chunkCount(); chunk++) {
            boolean present = channel.size() >= manifest.offsetOf(chunk) + manifest.sizeOf(chunk);
            if (present && manifest.matches(chunk, readAt(chunk))) {
                storedChunks.set(chunk);
            }
        }
    }

    private byte[] readAt(int chunk) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(manifest.sizeOf(chunk));
        long position = manifest.offsetOf(chunk);
        while (buffer.hasRemaining()) {
            int count = channel.read(buffer, position + buffer.position());
            if (count < 0) {
                throw new IOException("unexpected end of weights file in chunk " + chunk + ": " + path);
            }
        }
        return buffer.array();
    }

    private void write(long position, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer, position + buffer.position());
        }
    }

    /**
     * Returns the digest of a whole file.
     *
     * @param path the file, not null
     * @return the SHA-256 of the content in hexadecimal, not null
     * @throws IOException if the file cannot be read
     */
    public static String digestOf(Path path) throws IOException {
        return Digest.of(Files.readAllBytes(path));
    }

    @Override
    public String toString() {
        return "ChunkFile[" + path.getFileName() + "]";
    }
}

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
 * One version's weights on a box, chunk by chunk.
 *
 * <p>A chunk is checked before it is kept; only kept chunks are handed out. Chunks found on opening are checked again.
 * The file is whole once every chunk is kept and {@link #verifyWhole()} has read all of it back.
 *
 * <p>ChunkFile is thread-safe: its methods exclude each other.
 */
public final class ChunkFile implements AutoCloseable {
    private final Manifest manifest;
    private final Path path;
    private final FileChannel channel;
    private final BitSet storedChunks = new BitSet();

    /**
     * Opens the file of a version, making it if need be, and checks what is in it.
     *
     * @param folder the chunk folder, not null
     * @param manifest the version, not null
     * @return the file, not null
     * @throws IOException if it cannot be made or read, as when the disk is full
     */
    public static ChunkFile open(Path folder, Manifest manifest) throws IOException {
        Files.createDirectories(folder);
        Path path = folder.resolve(manifest.digest() + ".weights");
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        ChunkFile file = new ChunkFile(manifest, path, channel);
        file.checkAll();
        return file;
    }

    private ChunkFile(Manifest manifest, Path path, FileChannel channel) {
        this.manifest = manifest;
        this.path = path;
        this.channel = channel;
    }

    /** Returns the version, not null. */
    public Manifest manifest() {
        return manifest;
    }

    /** Returns where the weights are, for the engine to load once whole, not null. */
    public Path path() {
        return path;
    }

    /** Returns the chunks that are kept, as a copy, not null. */
    public synchronized BitSet storedChunks() {
        return (BitSet) storedChunks.clone();
    }

    /** Returns true if every chunk is kept. */
    public synchronized boolean isComplete() {
        return storedChunks.cardinality() == manifest.chunkCount();
    }

    /**
     * Keeps a chunk if it is what the manifest says.
     *
     * @param chunk the chunk's number
     * @param bytes the bytes as they arrived, not null
     * @return false if they are not the chunk's and were dropped
     * @throws IOException if they cannot be written
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
     * Reads a kept chunk.
     *
     * @param chunk the chunk's number
     * @return its bytes, or null if it is not kept
     * @throws IOException if it cannot be read
     */
    public synchronized byte[] read(int chunk) throws IOException {
        return storedChunks.get(chunk) ? readAt(chunk) : null;
    }

    /**
     * Reads every chunk back and checks it; chunks that fail are no longer kept.
     *
     * @return true if the copy is whole
     * @throws IOException if it cannot be read
     */
    public synchronized boolean verifyAll() throws IOException {
        if (!isComplete()) {
            return false;
        }
        channel.force(true);
        checkAll();
        return isComplete();
    }

    /**
     * Closes and deletes the file.
     *
     * @throws IOException if it cannot be deleted
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

    private synchronized void checkAll() throws IOException {
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
                throw new IOException("weights file ends within chunk " + chunk + ": " + path);
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
     * Digests the whole content of a file, as an engine does that names what it loaded.
     *
     * @param path the file, not null
     * @return the SHA-256 of its bytes, not null
     * @throws IOException if it cannot be read
     */
    public static String digestOf(Path path) throws IOException {
        return Digest.of(Files.readAllBytes(path));
    }

    @Override
    public String toString() {
        return "ChunkFile[" + path.getFileName() + "]";
    }
}

package org.bankturn.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Iterator;
import java.util.Optional;

/**
 * A flat directory of files with explicit syncs.
 *
 * <p>Applications that embed the Raft implementation may provide their own.
 */
public interface StorageDirectory {
    /**
     * Reads a whole file.
     *
     * @param name the file name, not null
     * @return the content, empty if the file does not exist
     * @throws IOException if the file cannot be read
     */
    Optional<byte[]> read(String name) throws IOException;

    /**
     * Opens a file to read it in parts. Unless overridden, it reads the whole file at once.
     *
     * @param name the file name, not null
     * @return the file, empty if it does not exist
     * @throws IOException if the file cannot be read
     */
    default Optional<StoredFile> open(String name) throws IOException {
        return read(name).map(ArrayFile::new);
    }

    /**
     * Appends to a file, creating it if it does not exist. The bytes are durable only after {@link #sync}.
     *
     * @param name the file name, not null
     * @param bytes the bytes to append, not null
     * @throws IOException if the write fails
     */
    void append(String name, byte[] bytes) throws IOException;

    /**
     * Makes the content of a file and its directory entry durable, also what a former process wrote without a sync.
     *
     * @param name the file name, not null
     * @throws IOException if the sync fails; the content is then undefined and the process must stop
     */
    void sync(String name) throws IOException;

    /**
     * Atomically replaces the content of a file; the new content is durable when this method returns.
     *
     * @param name the file name, not null
     * @param bytes the new content, not null
     * @throws IOException if the write or sync fails
     */
    void replace(String name, byte[] bytes) throws IOException;

    /**
     * Atomically replaces the content of a file; the new content is durable when this method returns. Unless overridden, it
     * collects the whole content first.
     *
     * @param name the file name, not null
     * @param parts the parts of the new content, in order, not null
     * @throws IOException if the write or sync fails
     */
    default void replace(String name, Iterator<byte[]> parts) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        parts.forEachRemaining(content::writeBytes);
        replace(name, content.toByteArray());
    }
}

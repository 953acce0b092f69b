package org.bankturn.storage;

import java.io.IOException;
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
     * Appends to a file, creating it if it does not exist. The bytes are durable only after {@link #sync}.
     *
     * @param name the file name, not null
     * @param bytes the bytes to append, not null
     * @throws IOException if the write fails
     */
    void append(String name, byte[] bytes) throws IOException;

    /**
     * Makes the content of a file and its directory entry durable.
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
}

package org.bankturn.storage;

import java.io.IOException;
import java.util.Optional;

/**
 * One flat folder of files, which last only once synced.
 *
 * <p>A program that embeds the agreement may bring its own; tests bring one that stops at any chosen operation.
 */
public interface StorageDirectory {
    /**
     * Reads a file whole.
     *
     * @param name the file's name, not null
     * @return its bytes, empty if there is no such file
     * @throws IOException if it cannot be read
     */
    Optional<byte[]> read(String name) throws IOException;

    /**
     * Adds bytes at the end of a file, making it if need be; they last only after {@link #sync}.
     *
     * @param name the file's name, not null
     * @param bytes what to add, not null
     * @throws IOException if they cannot be written
     */
    void append(String name, byte[] bytes) throws IOException;

    /**
     * Makes a file's content last, and its name in the folder.
     *
     * @param name the file's name, not null
     * @throws IOException if it failed; the content is then unknown and the process must stop
     */
    void sync(String name) throws IOException;

    /**
     * Replaces a file's content as a whole: after a crash it is all old or all new. Lasts on return.
     *
     * @param name the file's name, not null
     * @param bytes the new content, not null
     * @throws IOException if it failed
     */
    void replace(String name, byte[] bytes) throws IOException;
}

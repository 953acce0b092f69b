package org.bankturn.storage;

import java.io.Closeable;
import java.io.IOException;

/** A file of a {@link StorageDirectory} that is open for reading in parts; not thread-safe. */
public interface StoredFile extends Closeable {
    /** Returns the size of the file in bytes. */
    long size();

    /**
     * Reads a part of the file.
     *
     * @param position the position of the first byte
     * @param target receives the bytes from its first element on, not null
     * @param length the number of bytes, which the file contains from that position on
     * @throws IOException if the part cannot be read as a whole
     */
    void read(long position, byte[] target, int length) throws IOException;
}

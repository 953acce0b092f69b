package org.bankturn.storage;

/** A file whose content is held in memory. */
final class ArrayFile implements StoredFile {
    private final byte[] content;

    ArrayFile(byte[] content) {
        this.content = content;
    }

    @Override
    public long size() {
        return content.length;
    }

    @Override
    public void read(long position, byte[] target, int length) {
        System.arraycopy(content, (int) position, target, 0, length);
    }

    @Override
    public void close() {
        // Holds no resources.
    }
}

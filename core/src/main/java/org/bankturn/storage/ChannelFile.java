package org.bankturn.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/** A file in the file system. */
final class ChannelFile implements StoredFile {
    private final FileChannel channel;
    private final long size;

    ChannelFile(FileChannel channel) throws IOException {
        this.channel = channel;
        this.size = channel.size();
    }

    @Override
    public long size() {
        return size;
    }

    @Override
    public void read(long position, byte[] target, int length) throws IOException {
        int done = 0;
        while (done < length) {
            int part = Math.min(length - done, FileSystemDirectory.MAX_TRANSFER_BYTES);
            int read = channel.read(ByteBuffer.wrap(target, done, part), position + done);
            if (read < 0) {
                throw new EOFException("the file ends at byte " + (position + done));
            }
            done += read;
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}

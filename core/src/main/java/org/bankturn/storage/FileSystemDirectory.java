package org.bankturn.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A storage directory in the file system.
 *
 * <p>The directory is synced after a file is created. A file is replaced by writing and syncing a temporary file,
 * renaming it, and syncing the directory; see "All file systems are not created equal" (OSDI 2014).
 *
 * <p>FileSystemDirectory is mutable and not thread-safe.
 */
public final class FileSystemDirectory implements StorageDirectory, AutoCloseable {
    /** The system's interface copies each transfer to memory outside the heap and keeps that memory. */
    static final int MAX_TRANSFER_BYTES = 64 << 10;

    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path directory;
    private final Map<String, FileChannel> channels = new HashMap<>();

    /**
     * Opens a directory, creating it if it does not exist.
     *
     * @param directory the path, not null
     * @return the storage directory, not null
     * @throws IOException if the directory cannot be created
     */
    public static FileSystemDirectory open(Path directory) throws IOException {
        Files.createDirectories(directory);
        return new FileSystemDirectory(directory);
    }

    private FileSystemDirectory(Path directory) {
        this.directory = directory;
    }

    @Override
    public Optional<byte[]> read(String name) throws IOException {
        Path file = directory.resolve(name);
        return Files.exists(file) ? Optional.of(Files.readAllBytes(file)) : Optional.empty();
    }

    @Override
    public Optional<StoredFile> open(String name) throws IOException {
        Path file = directory.resolve(name);
        return Files.exists(file)
                ? Optional.of(new ChannelFile(FileChannel.open(file, StandardOpenOption.READ)))
                : Optional.empty();
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        FileChannel channel = channels.get(name);
        if (channel == null) {
            channel = FileChannel.open(
                    directory.resolve(name),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.APPEND);
            channels.put(name, channel);
            syncDirectory();
        }
        writeFully(channel, bytes);
    }

    @Override
    public void sync(String name) throws IOException {
        FileChannel channel = channels.get(name);
        if (channel != null) {
            channel.force(true);
        } else {
            syncFileOfFormerProcess(name);
        }
    }

    private void syncFileOfFormerProcess(String name) throws IOException {
        Path file = directory.resolve(name);
        if (Files.exists(file)) {
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                channel.force(true);
            }
            syncDirectory();
        }
    }

    @Override
    public void replace(String name, byte[] bytes) throws IOException {
        replace(name, List.of(bytes).iterator());
    }

    @Override
    public void replace(String name, Iterator<byte[]> parts) throws IOException {
        Path temporary = directory.resolve(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (parts.hasNext()) {
                writeFully(channel, parts.next());
            }
            channel.force(true);
        }
        closeChannel(name);
        Files.move(temporary, directory.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        syncDirectory();
    }

    @Override
    public void close() throws IOException {
        for (String name : channels.keySet().toArray(String[]::new)) {
            closeChannel(name);
        }
    }

    private void closeChannel(String name) throws IOException {
        FileChannel channel = channels.remove(name);
        if (channel != null) {
            channel.close();
        }
    }

    private void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
        int done = 0;
        while (done < bytes.length) {
            int part = Math.min(bytes.length - done, MAX_TRANSFER_BYTES);
            done += channel.write(ByteBuffer.wrap(bytes, done, part));
        }
    }

    @Override
    public String toString() {
        return "FileSystemDirectory[" + directory + "]";
    }
}

package org.bankturn.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A storage device over a folder of the file system.
 *
 * <p>New names are synced with the folder; a replacement is written beside the file, synced, renamed, and the folder
 * synced. See "All file systems are not created equal" (OSDI 2014) for why in this order.
 *
 * <p>FileSystemDirectory is mutable and not thread-safe.
 */
public final class FileSystemDirectory implements StorageDirectory, AutoCloseable {
    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path folder;
    private final Map<String, FileChannel> open = new HashMap<>();

    /**
     * Opens a folder, making it if need be.
     *
     * @param folder the folder, not null
     * @return a device, not null
     * @throws IOException if the folder cannot be made
     */
    public static FileSystemDirectory open(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new FileSystemDirectory(folder);
    }

    private FileSystemDirectory(Path folder) {
        this.folder = folder;
    }

    @Override
    public Optional<byte[]> read(String name) throws IOException {
        Path file = folder.resolve(name);
        return Files.exists(file) ? Optional.of(Files.readAllBytes(file)) : Optional.empty();
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        FileChannel channel = open.get(name);
        if (channel == null) {
            channel = FileChannel.open(
                    folder.resolve(name),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.APPEND);
            open.put(name, channel);
            syncFolder();
        }
        writeFully(channel, bytes);
    }

    @Override
    public void sync(String name) throws IOException {
        FileChannel channel = open.get(name);
        if (channel != null) {
            channel.force(true);
        }
    }

    @Override
    public void replace(String name, byte[] bytes) throws IOException {
        Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            writeFully(channel, bytes);
            channel.force(true);
        }
        closeChannel(name);
        Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        syncFolder();
    }

    @Override
    public void close() throws IOException {
        for (String name : open.keySet().toArray(String[]::new)) {
            closeChannel(name);
        }
    }

    private void closeChannel(String name) throws IOException {
        FileChannel channel = open.remove(name);
        if (channel != null) {
            channel.close();
        }
    }

    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    @Override
    public String toString() {
        return "FolderDevice[" + folder + "]";
    }
}

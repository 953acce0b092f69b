package org.bankturn.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** An in-memory directory that fails at a chosen operation and loses unsynced bytes in a crash. */
public final class CrashingDirectory implements StorageDirectory {
    private final Map<String, byte[]> synced = new HashMap<>();
    private final Map<String, byte[]> written = new HashMap<>();
    private int tornBytes;
    private int operationsLeft;

    /** Creates a directory that fails after {@code operations} operations, keeping {@code tornBytes} unsynced bytes. */
    public CrashingDirectory(int operations, int tornBytes) {
        this.operationsLeft = operations;
        this.tornBytes = tornBytes;
    }

    /** Fails after {@code operations} more operations and keeps {@code torn} unsynced bytes. */
    public void stopAfter(int operations, int torn) {
        operationsLeft = operations;
        tornBytes = torn;
    }

    /** Returns the directory as found after a crash. */
    public CrashingDirectory afterCrash() {
        CrashingDirectory restarted = new CrashingDirectory(Integer.MAX_VALUE, 0);
        written.forEach((name, bytes) -> {
            byte[] syncedBytes = synced.getOrDefault(name, new byte[0]);
            int length = Math.min(bytes.length, syncedBytes.length + tornBytes);
            byte[] kept = new byte[length];
            System.arraycopy(bytes, 0, kept, 0, length);
            restarted.synced.put(name, kept);
            restarted.written.put(name, kept);
        });
        return restarted;
    }

    /** Returns the directory as found after the process was killed: what was written is there, synced or not. */
    CrashingDirectory afterKill() {
        CrashingDirectory restarted = new CrashingDirectory(Integer.MAX_VALUE, 0);
        restarted.synced.putAll(synced);
        restarted.written.putAll(written);
        return restarted;
    }

    void corrupt(String name, int position) {
        written.get(name)[position] ^= 0x40;
    }

    void appendZeros(String name, int count) {
        byte[] longer = Arrays.copyOf(written.get(name), sizeOf(name) + count);
        written.put(name, longer);
        synced.put(name, longer.clone());
    }

    int sizeOf(String name) {
        return written.get(name).length;
    }

    @Override
    public Optional<byte[]> read(String name) {
        return Optional.ofNullable(written.get(name));
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(written.getOrDefault(name, new byte[0]));
        all.writeBytes(bytes);
        written.put(name, all.toByteArray());
        countOperation();
    }

    @Override
    public void sync(String name) throws IOException {
        countOperation();
        synced.put(name, written.get(name).clone());
    }

    @Override
    public void replace(String name, byte[] bytes) throws IOException {
        countOperation();
        written.put(name, bytes.clone());
        synced.put(name, bytes.clone());
    }

    private void countOperation() throws IOException {
        if (operationsLeft-- <= 0) {
            throw new IOException("simulated crash");
        }
    }
}

package org.bankturn.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The record file format. Each record consists of the payload length, the CRC-32C of the payload and the payload;
 * integers are big-endian.
 *
 * <p>No record is empty: a length of zero is what a file system shows where a write did not reach the disk.
 *
 * <p>An incomplete record at the end of the file, or a last record with a wrong checksum, is a torn write and is
 * ignored. A wrong checksum in any other record is corruption. One record at a time is held in memory.
 */
final class RecordFile {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int MAX_RECORD_BYTES = 256 << 20;
    private static final int BUFFER_BYTES = 64 << 10;

    private final String name;
    private final StoredFile file;

    /** Receives the payloads of the valid records. */
    @FunctionalInterface
    interface Receiver {
        /** Processes the payload of the next record. */
        void receive(byte[] payload) throws IOException;
    }

    static byte[] encode(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES + payload.length)
                .put(header(payload))
                .put(payload)
                .array();
    }

    /** Returns what precedes a payload in the file. */
    static byte[] header(byte[] payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(payload);
        return ByteBuffer.allocate(HEADER_BYTES)
                .putInt(payload.length)
                .putInt((int) checksum.getValue())
                .array();
    }

    /**
     * Reads the valid records in order.
     *
     * @param name the name of the file, not null
     * @param file the file, not null
     * @param receiver receives each payload, not null
     * @return the size of the valid records; any bytes after them are a torn write
     * @throws CorruptLogException if a record before the end is corrupt
     * @throws IOException if the file cannot be read
     */
    static long read(String name, StoredFile file, Receiver receiver) throws IOException {
        return new RecordFile(name, file).readTo(receiver);
    }

    private RecordFile(String name, StoredFile file) {
        this.name = name;
        this.file = file;
    }

    private long readTo(Receiver receiver) throws IOException {
        long position = 0;
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        while (file.size() - position >= HEADER_BYTES) {
            file.read(position, header.array(), HEADER_BYTES);
            int length = header.getInt(0);
            if (!isRecordComplete(position, length)) {
                break;
            }
            long end = position + HEADER_BYTES + length;
            if (header.getInt(Integer.BYTES) != checksumAt(position + HEADER_BYTES, length)) {
                if (end < file.size()) {
                    throw new CorruptLogException(name, position);
                }
                break;
            }
            receiver.receive(payloadAt(position + HEADER_BYTES, length));
            position = end;
        }
        if (hasLaterRecord(position)) {
            throw new CorruptLogException(name, position);
        }
        return position;
    }

    /** Searches for a valid record after a supposedly torn one, since a corrupt length looks like a torn write. */
    private boolean hasLaterRecord(long tail) throws IOException {
        ByteBuffer window = ByteBuffer.allocate(BUFFER_BYTES);
        long last = file.size() - HEADER_BYTES - 1;
        long position = tail + 1;
        while (position <= last) {
            int bytes = (int) Math.min(BUFFER_BYTES, file.size() - position);
            file.read(position, window.array(), bytes);
            for (int offset = 0; offset <= bytes - HEADER_BYTES && position <= last; offset++, position++) {
                int length = window.getInt(offset);
                if (isRecordComplete(position, length)
                        && window.getInt(offset + Integer.BYTES) == checksumAt(position + HEADER_BYTES, length)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isRecordComplete(long position, int length) {
        return length > 0 && length <= MAX_RECORD_BYTES && length <= file.size() - position - HEADER_BYTES;
    }

    private byte[] payloadAt(long position, int length) throws IOException {
        byte[] payload = new byte[length];
        file.read(position, payload, length);
        return payload;
    }

    /** Computes the checksum of a part of the file without holding it, since a corrupt length may be large. */
    private int checksumAt(long position, int length) throws IOException {
        CRC32C checksum = new CRC32C();
        byte[] buffer = new byte[Math.min(length, BUFFER_BYTES)];
        for (int done = 0; done < length; done += buffer.length) {
            int part = Math.min(buffer.length, length - done);
            file.read(position + done, buffer, part);
            checksum.update(buffer, 0, part);
        }
        return (int) checksum.getValue();
    }
}

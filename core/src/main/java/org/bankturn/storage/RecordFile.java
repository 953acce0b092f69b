package org.bankturn.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The record file format. Each record consists of the payload length, the CRC-32C of the payload and the payload;
 * integers are big-endian.
 *
 * <p>An incomplete record at the end of the file, or a last record with a wrong checksum, is a torn write and is
 * ignored. A wrong checksum in any other record is corruption.
 */
final class RecordFile {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int MAX_RECORD_BYTES = 256 << 20;

    /**
     * The decoded content of a file.
     *
     * @param payloads the payloads of the valid records, in order, not null
     * @param wholeBytes the size of the valid records; any bytes after them are a torn write
     */
    record Content(List<byte[]> payloads, int wholeBytes) {}

    private RecordFile() {}

    static byte[] encode(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES + payload.length)
                .putInt(payload.length)
                .putInt(checksum(payload))
                .put(payload)
                .array();
    }

    static Content decode(String name, byte[] bytes) throws CorruptLogException {
        List<byte[]> payloads = new ArrayList<>();
        int position = 0;
        while (isRecordComplete(bytes, position)) {
            byte[] payload = payloadAt(bytes, position);
            int end = position + HEADER_BYTES + payload.length;
            if (!checksumMatches(bytes, position, payload)) {
                if (end < bytes.length) {
                    throw new CorruptLogException(name, position);
                }
                break;
            }
            payloads.add(payload);
            position = end;
        }
        if (hasLaterRecord(bytes, position)) {
            throw new CorruptLogException(name, position);
        }
        return new Content(payloads, position);
    }

    /** Searches for a valid record after a supposedly torn one, since a corrupt length looks like a torn write. */
    private static boolean hasLaterRecord(byte[] bytes, int tail) {
        for (int position = tail + 1; position < bytes.length - HEADER_BYTES; position++) {
            if (isRecordComplete(bytes, position)) {
                byte[] payload = payloadAt(bytes, position);
                if (payload.length > 0 && checksumMatches(bytes, position, payload)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean isRecordComplete(byte[] bytes, int position) {
        if (bytes.length - position < HEADER_BYTES) {
            return false;
        }
        int length = ByteBuffer.wrap(bytes).getInt(position);
        return length >= 0 && length <= MAX_RECORD_BYTES && length <= bytes.length - position - HEADER_BYTES;
    }

    private static byte[] payloadAt(byte[] bytes, int position) {
        byte[] payload = new byte[ByteBuffer.wrap(bytes).getInt(position)];
        System.arraycopy(bytes, position + HEADER_BYTES, payload, 0, payload.length);
        return payload;
    }

    private static boolean checksumMatches(byte[] bytes, int position, byte[] payload) {
        return ByteBuffer.wrap(bytes).getInt(position + Integer.BYTES) == checksum(payload);
    }

    private static int checksum(byte[] payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(payload);
        return (int) checksum.getValue();
    }
}

package org.bankturn.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * The layout of a file of records: length, CRC-32C of the payload, payload; numbers are big-endian.
 *
 * <p>A record that the end of the file cuts short is a torn tail and is dropped. A record that is all there but does
 * not match its checksum is corruption if another whole record follows it, and a torn tail if it is the last.
 */
final class RecordFile {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int MAXIMUM_RECORD_BYTES = 256 << 20;

    /**
     * What a file held.
     *
     * @param payloads the whole records, in order
     * @param wholeBytes the bytes they take; whatever follows is a torn tail
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
        while (isRecordWhole(bytes, position)) {
            byte[] payload = payloadAt(bytes, position);
            int end = position + HEADER_BYTES + payload.length;
            if (!matches(bytes, position, payload)) {
                if (end < bytes.length) {
                    throw new CorruptLogException(name, position);
                }
                break;
            }
            payloads.add(payload);
            position = end;
        }
        if (wholeRecordFollows(bytes, position)) {
            throw new CorruptLogException(name, position);
        }
        return new Content(payloads, position);
    }

    /** A damaged length would hide all that follows as if it were a torn tail, so later records are looked for. */
    private static boolean wholeRecordFollows(byte[] bytes, int tail) {
        for (int position = tail + 1; position < bytes.length - HEADER_BYTES; position++) {
            if (isRecordWhole(bytes, position)) {
                byte[] payload = payloadAt(bytes, position);
                if (payload.length > 0 && matches(bytes, position, payload)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean isRecordWhole(byte[] bytes, int position) {
        if (bytes.length - position < HEADER_BYTES) {
            return false;
        }
        int length = ByteBuffer.wrap(bytes).getInt(position);
        return length >= 0 && length <= MAXIMUM_RECORD_BYTES && length <= bytes.length - position - HEADER_BYTES;
    }

    private static byte[] payloadAt(byte[] bytes, int position) {
        byte[] payload = new byte[ByteBuffer.wrap(bytes).getInt(position)];
        System.arraycopy(bytes, position + HEADER_BYTES, payload, 0, payload.length);
        return payload;
    }

    private static boolean matches(byte[] bytes, int position, byte[] payload) {
        return ByteBuffer.wrap(bytes).getInt(position + Integer.BYTES) == checksum(payload);
    }

    private static int checksum(byte[] payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(payload);
        return (int) checksum.getValue();
    }
}

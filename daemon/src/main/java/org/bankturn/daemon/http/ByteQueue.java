package org.bankturn.daemon.http;

import io.activej.bytebuf.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A FIFO buffer of received bytes; mutable, confined to one thread. */
final class ByteQueue {
    private static final int INITIAL_BYTES = 1_024;

    private byte[] bytes = new byte[0];
    private int start;
    private int end;

    /** Appends the bytes of the buffer and recycles it. */
    void add(ByteBuf buffer) {
        int size = buffer.readRemaining();
        ensureCapacity(size);
        System.arraycopy(buffer.array(), buffer.head(), bytes, end, size);
        end += size;
        buffer.recycle();
    }

    private void ensureCapacity(int size) {
        if (bytes.length - end >= size) {
            return;
        }
        int length = end - start;
        byte[] target = length + size <= bytes.length && start > 0
                ? bytes
                : new byte[Math.max(INITIAL_BYTES, Integer.highestOneBit(length + size) * 2)];
        System.arraycopy(bytes, start, target, 0, length);
        bytes = target;
        start = 0;
        end = length;
    }

    int size() {
        return end - start;
    }

    byte[] take(int size) {
        byte[] result = Arrays.copyOfRange(bytes, start, start + size);
        skip(size);
        return result;
    }

    void skip(int size) {
        start += size;
        if (start == end) {
            start = 0;
            end = 0;
            bytes = bytes.length > 1 << 16 ? new byte[0] : bytes;
        }
    }

    /** Returns the offset just past the first line feed at or after {@code from}, -1 if there is none. */
    int endOfLine(int from) {
        for (int position = start + from; position < end; position++) {
            if (bytes[position] == '\n') {
                return position + 1 - start;
            }
        }
        return -1;
    }

    String text(int from, int to) {
        return new String(bytes, start + from, to - from, StandardCharsets.ISO_8859_1);
    }
}

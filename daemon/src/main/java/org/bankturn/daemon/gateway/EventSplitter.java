package org.bankturn.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a text/event-stream into complete events; mutable and not thread-safe.
 *
 * <p>Each byte is examined once and copied a bounded number of times, however long an event is.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";
    private static final int INITIAL_BYTES = 1_024;

    private byte[] buffer = new byte[INITIAL_BYTES];
    private int size;

    /** The number of bytes that are known not to end an event. */
    private int examined;

    private boolean lineEmpty = true;
    private boolean anyLine;

    /**
     * A complete event.
     *
     * @param bytes the bytes, including the terminating empty line, not null
     * @param id the id, null if there is none
     */
    record Event(byte[] bytes, String id) {}

    /** Adds bytes and returns the events that they complete. */
    List<Event> add(byte[] bytes) {
        append(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int end = findEventEnd(); end > 0; end = findEventEnd()) {
            byte[] event = Arrays.copyOfRange(buffer, start, end);
            events.add(new Event(event, idOf(event)));
            start = end;
        }
        discard(start);
        return events;
    }

    /** Returns the size of the incomplete event, in bytes. */
    int remainingBytes() {
        return size;
    }

    private void append(byte[] bytes) {
        if (buffer.length - size < bytes.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes.length));
        }
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
    }

    /** Removes the events before a position. */
    private void discard(int start) {
        if (start == 0) {
            return;
        }
        int remaining = size - start;
        byte[] kept = new byte[Math.max(INITIAL_BYTES, remaining)];
        System.arraycopy(buffer, start, kept, 0, remaining);
        buffer = kept;
        size = remaining;
        examined -= start;
    }

    /** Returns the position after the next empty line, 0 if there is none. */
    private int findEventEnd() {
        while (examined < size) {
            byte next = buffer[examined++];
            if (next == '\n') {
                if (lineEmpty && anyLine) {
                    anyLine = false;
                    return examined;
                }
                anyLine |= !lineEmpty;
                lineEmpty = true;
            } else if (next != '\r') {
                lineEmpty = false;
            }
        }
        return 0;
    }

    private static String idOf(byte[] event) {
        for (String line : new String(event, StandardCharsets.ISO_8859_1).split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                return line.substring(ID_FIELD.length()).trim();
            }
        }
        return null;
    }
}

package org.bankturn.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits a text/event-stream into complete events; mutable and not thread-safe. */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private byte[] buffer = new byte[0];

    /**
     * A complete event.
     *
     * @param bytes the bytes, including the terminating empty line, not null
     * @param id the id, null if there is none
     */
    record Event(byte[] bytes, String id) {}

    /** Adds bytes and returns the events that they complete. */
    List<Event> add(byte[] bytes) {
        byte[] all = buffer.length == 0 ? bytes : concatenate(buffer, bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        int end = findEventEnd(all, start);
        while (end > 0) {
            byte[] event = Arrays.copyOfRange(all, start, end);
            events.add(new Event(event, idOf(event)));
            start = end;
            end = findEventEnd(all, start);
        }
        buffer = start == 0 ? all : Arrays.copyOfRange(all, start, all.length);
        return events;
    }

    /** Returns the bytes of an incomplete event. */
    byte[] remainder() {
        return buffer;
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(first.length + second.length);
        all.writeBytes(first);
        all.writeBytes(second);
        return all.toByteArray();
    }

    /** Returns the position after the next empty line, 0 if there is none. */
    private static int findEventEnd(byte[] bytes, int start) {
        boolean lineEmpty = true;
        boolean anyLine = false;
        for (int position = start; position < bytes.length; position++) {
            if (bytes[position] == '\n') {
                if (lineEmpty && anyLine) {
                    return position + 1;
                }
                anyLine |= !lineEmpty;
                lineEmpty = true;
            } else if (bytes[position] != '\r') {
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

package org.bankturn.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Cuts a series of events (text/event-stream) into whole events; mutable, confined to one thread. */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private byte[] held = new byte[0];

    /**
     * One whole event.
     *
     * @param bytes its bytes with the empty line that ends it, not null
     * @param id its id, null if it has none
     */
    record Event(byte[] bytes, String id) {}

    /** Adds bytes and returns the events that are whole now. */
    List<Event> add(byte[] bytes) {
        byte[] all = held.length == 0 ? bytes : joined(held, bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        int end = endOfEvent(all, start);
        while (end > 0) {
            byte[] event = Arrays.copyOfRange(all, start, end);
            events.add(new Event(event, idOf(event)));
            start = end;
            end = endOfEvent(all, start);
        }
        held = start == 0 ? all : Arrays.copyOfRange(all, start, all.length);
        return events;
    }

    /** Returns the bytes of an event that is not whole. */
    byte[] remainder() {
        return held;
    }

    private static byte[] joined(byte[] one, byte[] other) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(one.length + other.length);
        all.writeBytes(one);
        all.writeBytes(other);
        return all.toByteArray();
    }

    /** Returns the position after the next empty line, 0 if there is none. */
    private static int endOfEvent(byte[] bytes, int start) {
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

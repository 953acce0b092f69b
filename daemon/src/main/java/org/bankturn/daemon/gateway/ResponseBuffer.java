package org.bankturn.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.bankturn.daemon.gateway.EventSplitter.Event;
import org.bankturn.daemon.http.BufferBound;
import org.bankturn.daemon.http.BufferBudget;
import org.bankturn.daemon.http.BufferKind;

/**
 * What was received of a response and cannot be forwarded yet: the whole body, or the incomplete event of a stream.
 *
 * <p>ResponseBuffer is mutable and not thread-safe.
 */
final class ResponseBuffer {
    private final BufferBudget.Reservation memory;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private EventSplitter events = new EventSplitter();

    /** Returns an empty buffer for a body that is forwarded whole, not null. */
    static ResponseBuffer ofBody(BufferBudget budget) {
        return new ResponseBuffer(budget.newReservation(BufferKind.RESPONSE));
    }

    /** Returns an empty buffer for a stream that is forwarded event by event, not null. */
    static ResponseBuffer ofStream(BufferBudget budget) {
        return new ResponseBuffer(budget.newReservation(BufferKind.EVENT));
    }

    private ResponseBuffer(BufferBudget.Reservation memory) {
        this.memory = memory;
    }

    /** Returns what the buffer holds, not null. */
    BufferKind kind() {
        return memory.kind();
    }

    /** Returns the size of what the buffer holds, in bytes. */
    long size() {
        return body.size() + (long) events.remainingBytes();
    }

    /** Returns true if an event was received in part. */
    boolean hasIncompleteEvent() {
        return events.remainingBytes() > 0;
    }

    /** Returns the whole body, not null. */
    byte[] body() {
        return body.toByteArray();
    }

    /** Reserves memory for a message of the given size; returns the bound that does not allow it, empty if all do. */
    Optional<BufferBound> reserve(long messageBytes) {
        return Optional.ofNullable(memory.growTo(messageBytes));
    }

    /** Adds a part of the body; returns the bound that does not allow it, empty if all do. */
    Optional<BufferBound> add(byte[] part) {
        Optional<BufferBound> exceeded = reserve(body.size() + (long) part.length);
        if (exceeded.isEmpty()) {
            body.writeBytes(part);
        }
        return exceeded;
    }

    /** Adds a part of a stream and returns the events that it completes, not null. */
    List<Event> addToStream(byte[] part) {
        return events.add(part);
    }

    /** Returns the memory to the budget; what was received may still be forwarded. */
    void release() {
        memory.release();
    }

    /** Discards what was received. */
    void clear() {
        body = new ByteArrayOutputStream(0);
        events = new EventSplitter();
    }
}

package org.bankturn.daemon.http;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory for messages that a process has to receive completely before it uses them.
 *
 * <p>Messages up to {@link #FREE_BYTES} need no reservation, so that a few large ones keep no small one from being received;
 * their number is bounded by that of the connections. A reservation is refused, and nothing is reserved, if one message or
 * all of them would exceed their bound.
 *
 * <p>BufferBudget is thread-safe.
 */
public final class BufferBudget {
    /** The size up to which a message needs no reservation; exceeds most requests and responses. */
    public static final int FREE_BYTES = 64 << 10;

    /** Copies that are made while a message is passed on take the same again. */
    private static final long HEAP_PER_TOTAL = 8;

    private static final long HEAP_PER_MESSAGE = 32;

    private final long totalBytes;
    private final long messageBytes;
    private final AtomicLong reserved = new AtomicLong();
    private final Map<BufferKind, AtomicLong> reservedByKind = new EnumMap<>(BufferKind.class);

    /** The part of the budget that one message uses; confined to one thread. */
    public final class Reservation {
        private final BufferKind kind;
        private long bytes;

        private Reservation(BufferKind kind) {
            this.kind = kind;
        }

        /** Returns what the memory holds, not null. */
        public BufferKind kind() {
            return kind;
        }

        /**
         * Reserves memory for a message that grows.
         *
         * @param size the size of the message, in bytes
         * @return null if the memory is reserved, otherwise the bound that does not allow it
         */
        public BufferBound growTo(long size) {
            if (size <= FREE_BYTES || size <= bytes) {
                return null;
            }
            if (size > messageBytes) {
                return BufferBound.MESSAGE;
            }
            if (!reserve(kind, size - bytes)) {
                return BufferBound.TOTAL;
            }
            bytes = size;
            return null;
        }

        /** Releases the memory. */
        public void release() {
            reserved.addAndGet(-bytes);
            reservedByKind.get(kind).addAndGet(-bytes);
            bytes = 0;
        }
    }

    /** Returns a budget without bounds, for peers that are trusted, not null. */
    public static BufferBudget unlimited() {
        return new BufferBudget(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2);
    }

    /** Returns the budget of a process with the given maximum heap, not null. */
    public static BufferBudget forHeap(long heapBytes) {
        return new BufferBudget(heapBytes / HEAP_PER_TOTAL, heapBytes / HEAP_PER_MESSAGE);
    }

    private BufferBudget(long totalBytes, long messageBytes) {
        this.totalBytes = totalBytes;
        this.messageBytes = messageBytes;
        for (BufferKind kind : BufferKind.values()) {
            reservedByKind.put(kind, new AtomicLong());
        }
    }

    /** Returns the bound of one message, in bytes. */
    public long messageBytes() {
        return messageBytes;
    }

    /** Returns the memory reserved for messages of a kind, in bytes. */
    public long reservedBytes(BufferKind kind) {
        return reservedByKind.get(kind).get();
    }

    /** Returns a reservation of no memory, not null. */
    public Reservation newReservation(BufferKind kind) {
        return new Reservation(kind);
    }

    private boolean reserve(BufferKind kind, long bytes) {
        if (reserved.addAndGet(bytes) > totalBytes) {
            reserved.addAndGet(-bytes);
            return false;
        }
        reservedByKind.get(kind).addAndGet(bytes);
        return true;
    }
}

package org.bankturn.daemon.wire;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the memory of the large frames that all connections of a process are receiving.
 *
 * <p>Memory is reserved for a whole frame before its bytes are read, in the order of the requests, so that each frame that
 * is begun can be completed.
 *
 * <p>ReceiveBudget is thread-safe.
 */
final class ReceiveBudget {
    private static final long MAX_BYTES =
            Math.min(128 << 20, Runtime.getRuntime().maxMemory() / 4);

    private static final ReceiveBudget SHARED = ofBytes(MAX_BYTES);

    private final long maxBytes;
    private final Deque<Reservation> waiting = new ArrayDeque<>();
    private long reservedBytes;

    /** Returns the budget of this process, not null. */
    static ReceiveBudget shared() {
        return SHARED;
    }

    /** Returns a budget of the given size, not null. */
    static ReceiveBudget ofBytes(long maxBytes) {
        return new ReceiveBudget(maxBytes);
    }

    private ReceiveBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the size of the largest frame that may be received. */
    long maxBytes() {
        return maxBytes;
    }

    /**
     * Reserves memory for a frame, now or later.
     *
     * @param bytes the size of the frame, at most {@link #maxBytes()}
     * @param grantListener called from any thread if the memory is granted later, not null
     * @return the reservation, not null
     */
    Reservation reserve(int bytes, Runnable grantListener) {
        Reservation reservation = new Reservation(bytes, grantListener);
        synchronized (this) {
            if (waiting.isEmpty() && fits(reservation)) {
                grant(reservation);
            } else {
                waiting.add(reservation);
            }
        }
        return reservation;
    }

    /** Returns the number of frames that wait for memory. */
    synchronized int waitingFrames() {
        return waiting.size();
    }

    /** Returns the memory that is reserved. */
    synchronized long reservedBytes() {
        return reservedBytes;
    }

    private boolean fits(Reservation reservation) {
        return reservedBytes + reservation.bytes <= maxBytes;
    }

    private void grant(Reservation reservation) {
        reservation.granted = true;
        reservedBytes += reservation.bytes;
    }

    /** Memory for one frame. */
    final class Reservation {
        private final int bytes;
        private final Runnable grantListener;
        private boolean granted;
        private boolean released;

        private Reservation(int bytes, Runnable grantListener) {
            this.bytes = bytes;
            this.grantListener = grantListener;
        }

        /** Returns true if the memory may be used. */
        boolean isGranted() {
            synchronized (ReceiveBudget.this) {
                return granted;
            }
        }

        /** Gives the memory back, or gives up waiting for it; further calls have no effect. */
        void release() {
            Deque<Reservation> next = new ArrayDeque<>();
            synchronized (ReceiveBudget.this) {
                if (released) {
                    return;
                }
                released = true;
                if (granted) {
                    reservedBytes -= bytes;
                } else {
                    waiting.remove(this);
                }
                while (!waiting.isEmpty() && fits(waiting.peek())) {
                    next.add(waiting.remove());
                    grant(next.peekLast());
                }
            }
            next.forEach(reservation -> reservation.grantListener.run());
        }
    }
}

package org.bankturn.daemon.wire;

import io.activej.bytebuf.ByteBufs;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.time.Clock;

/**
 * Exchanges frames over one TCP connection. A frame is a four-byte big-endian length followed by MessagePack.
 *
 * <p>FrameChannel is confined to its reactor's thread.
 */
final class FrameChannel {
    private final Reactor reactor;
    private final ITcpSocket socket;
    private final ReceiveBudget receiveBudget;
    private final Receiver receiver;
    private final Consumer<Exception> closeListener;
    private final ByteBufs received = new ByteBufs();
    private final Deque<OutgoingFrame> sendQueue = new ArrayDeque<>();
    private final Clock clock;
    private ReceiveBudget.Reservation reservation;
    private int incomingLength;
    private byte[] incoming;
    private int incomingBytes;
    private long readCount;
    private long lastProgressMillis;
    private long unsentBytes;
    private boolean sending;
    private boolean closed;

    /** Receives the frames of a connection. */
    @FunctionalInterface
    interface Receiver {
        /**
         * Called for each frame.
         *
         * @param frame the content, not null
         * @param large true if it was large enough to delay others
         */
        void received(Frame frame, boolean large);
    }

    FrameChannel(
            Reactor reactor,
            ITcpSocket socket,
            ReceiveBudget receiveBudget,
            Clock clock,
            Receiver receiver,
            Consumer<Exception> closeListener) {
        this.reactor = reactor;
        this.socket = socket;
        this.receiveBudget = receiveBudget;
        this.clock = clock;
        this.lastProgressMillis = clock.millis();
        this.receiver = receiver;
        this.closeListener = closeListener;
    }

    void start() {
        readMore();
    }

    void send(OutgoingFrame frame) {
        if (closed) {
            frame.end();
            return;
        }
        sendQueue.add(frame);
        unsentBytes += frame.bytes();
        flush();
    }

    /** Removes a frame from the queue unless a part of it was written. */
    void withdraw(OutgoingFrame frame) {
        if (!frame.isBegun() && sendQueue.remove(frame)) {
            unsentBytes -= frame.bytes();
            frame.end();
        }
    }

    /** Returns the size of the frames that are not written completely. */
    long unsentBytes() {
        return unsentBytes;
    }

    /** Returns the number of reads that returned data. */
    long readCount() {
        return readCount;
    }

    /**
     * Returns the time of the last read or of the last part of a large frame that the connection took, or the time of
     * opening before the first. Small frames don't count, since a connection that went silent takes them for long. While
     * this process has no memory for a frame, the other one is not silent: returns the current time.
     */
    long lastProgressMillis() {
        return awaitsMemory() ? clock.millis() : lastProgressMillis;
    }

    /** Returns true if a part of a large frame was received, and not the rest. */
    boolean isReceivingLargeFrame() {
        return reservation != null;
    }

    /** Returns true if the connection is closed. */
    boolean isClosed() {
        return closed;
    }

    void close(Exception reason) {
        if (closed) {
            return;
        }
        closed = true;
        socket.closeEx(reason);
        received.recycle();
        incoming = null;
        releaseMemory();
        List<OutgoingFrame> unsent = List.copyOf(sendQueue);
        sendQueue.clear();
        unsentBytes = 0;
        unsent.forEach(OutgoingFrame::end);
        closeListener.accept(reason);
    }

    // ---- sending

    /** Writes parts until one is not taken at once. */
    private void flush() {
        while (!sending && !closed && !sendQueue.isEmpty()) {
            sending = true;
            OutgoingFrame frame = sendQueue.peek();
            Promise<Void> write = socket.write(frame.nextPart());
            if (write.isComplete()) {
                partWritten(frame, write.getException());
            } else {
                write.whenComplete((ignored, failure) -> {
                    partWritten(frame, failure);
                    flush();
                });
            }
        }
    }

    private void partWritten(OutgoingFrame frame, Exception failure) {
        if (failure != null) {
            close(failure);
            return;
        }
        if (frame.isLarge()) {
            lastProgressMillis = clock.millis();
        }
        if (!closed && frame.isComplete()) {
            sendQueue.remove();
            unsentBytes -= frame.bytes();
            frame.end();
        }
        sending = false;
    }

    // ---- receiving

    private void readMore() {
        socket.read().whenComplete((bytes, failure) -> {
            if (failure != null || bytes == null) {
                close(failure != null ? failure : new IOException("connection closed by peer"));
                return;
            }
            if (closed) {
                bytes.recycle();
                return;
            }
            readCount++;
            lastProgressMillis = clock.millis();
            received.add(bytes);
            decodeAndReadMore();
        });
    }

    /** Decodes what was received and reads on, unless there is no memory for the frame that has begun. */
    private void decodeAndReadMore() {
        decodeFrames();
        if (!closed && !awaitsMemory()) {
            readMore();
        }
    }

    private boolean awaitsMemory() {
        return reservation != null && incoming == null;
    }

    private void memoryGranted() {
        if (!awaitsMemory() || !reservation.isGranted()) {
            return;
        }
        lastProgressMillis = clock.millis();
        allocate();
        decodeAndReadMore();
    }

    private void releaseMemory() {
        if (reservation != null) {
            ReceiveBudget.Reservation released = reservation;
            reservation = null;
            released.release();
        }
    }

    private void decodeFrames() {
        while (!closed && (incoming != null || beginFrame())) {
            incomingBytes += received.drainTo(incoming, incomingBytes, incoming.length - incomingBytes);
            if (incomingBytes < incoming.length) {
                return;
            }
            deliver();
        }
    }

    /** Reads the length of the next frame; returns false if it is not there yet or invalid, or if memory is awaited. */
    private boolean beginFrame() {
        if (awaitsMemory() || !received.hasRemainingBytes(Integer.BYTES)) {
            return false;
        }
        byte[] prefix = new byte[Integer.BYTES];
        received.drainTo(prefix, 0, Integer.BYTES);
        int length = ByteBuffer.wrap(prefix).getInt();
        if (length < 0 || length > receiveBudget.maxBytes()) {
            close(new IOException("invalid frame length: " + length));
            return false;
        }
        incomingLength = length;
        if (length > OutgoingFrame.LARGE_BYTES) {
            reservation = receiveBudget.reserve(length, () -> reactor.execute(this::memoryGranted));
            if (!reservation.isGranted()) {
                return false;
            }
        }
        allocate();
        return true;
    }

    private void allocate() {
        incoming = new byte[incomingLength];
        incomingBytes = 0;
    }

    private void deliver() {
        byte[] payload = incoming;
        incoming = null;
        Frame frame;
        try {
            frame = MessagePackCodec.instance().decode(payload, Frame.class);
        } catch (RuntimeException e) {
            close(e);
            return;
        } finally {
            releaseMemory();
        }
        receiver.received(frame, payload.length > OutgoingFrame.LARGE_BYTES);
    }
}

package org.bankturn.daemon.wire;

import io.activej.bytebuf.ByteBufs;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
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
    /** A frame is held twice while it is decoded; the largest ones carry a snapshot of the control group's state. */
    private static final long MAX_FRAME_BYTES =
            Math.min(128 << 20, Runtime.getRuntime().maxMemory() / 4);

    private final ITcpSocket socket;
    private final Receiver receiver;
    private final Consumer<Exception> closeListener;
    private final ByteBufs received = new ByteBufs();
    private final Deque<OutgoingFrame> sendQueue = new ArrayDeque<>();
    private final Clock clock;
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

    FrameChannel(ITcpSocket socket, Clock clock, Receiver receiver, Consumer<Exception> closeListener) {
        this.socket = socket;
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
     * opening before the first. Small frames don't count, since a connection that went silent takes them for long.
     */
    long lastProgressMillis() {
        return lastProgressMillis;
    }

    /** Returns true if a part of a large frame was received, and not the rest. */
    boolean isReceivingLargeFrame() {
        return incoming != null && incoming.length > OutgoingFrame.LARGE_BYTES;
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
            decodeFrames();
            if (!closed) {
                readMore();
            }
        });
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

    /** Reads the length of the next frame; returns false if it is not there yet or invalid. */
    private boolean beginFrame() {
        if (!received.hasRemainingBytes(Integer.BYTES)) {
            return false;
        }
        byte[] prefix = new byte[Integer.BYTES];
        received.drainTo(prefix, 0, Integer.BYTES);
        int length = ByteBuffer.wrap(prefix).getInt();
        if (length < 0 || length > MAX_FRAME_BYTES) {
            close(new IOException("invalid frame length: " + length));
            return false;
        }
        incoming = new byte[length];
        incomingBytes = 0;
        return true;
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
        }
        receiver.received(frame, payload.length > OutgoingFrame.LARGE_BYTES);
    }
}

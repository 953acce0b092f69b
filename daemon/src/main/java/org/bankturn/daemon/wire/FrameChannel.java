package org.bankturn.daemon.wire;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.net.socket.tcp.ITcpSocket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
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
    private final Consumer<Frame> receiver;
    private final Consumer<Exception> closeListener;
    private final ByteBufs received = new ByteBufs();
    private final Deque<ByteBuf> sendQueue = new ArrayDeque<>();
    private final Clock clock;
    private long readCount;
    private long lastReadMillis;
    private boolean sending;
    private boolean closed;

    FrameChannel(ITcpSocket socket, Clock clock, Consumer<Frame> receiver, Consumer<Exception> closeListener) {
        this.socket = socket;
        this.clock = clock;
        this.lastReadMillis = clock.millis();
        this.receiver = receiver;
        this.closeListener = closeListener;
    }

    void start() {
        readMore();
    }

    void send(Frame frame) {
        if (closed) {
            return;
        }
        byte[] payload = MessagePackCodec.instance().encode(frame);
        byte[] framed = ByteBuffer.allocate(Integer.BYTES + payload.length)
                .putInt(payload.length)
                .put(payload)
                .array();
        sendQueue.add(ByteBuf.wrapForReading(framed));
        flush();
    }

    /** Returns the number of reads that returned data. */
    long readCount() {
        return readCount;
    }

    /** Returns the time of the last read, or the time of opening before the first. */
    long lastReadMillis() {
        return lastReadMillis;
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
        sendQueue.clear();
        closeListener.accept(reason);
    }

    private void flush() {
        if (sending || closed || sendQueue.isEmpty()) {
            return;
        }
        sending = true;
        socket.write(sendQueue.poll()).whenComplete((ignored, failure) -> {
            sending = false;
            if (failure != null) {
                close(failure);
            } else {
                flush();
            }
        });
    }

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
            lastReadMillis = clock.millis();
            received.add(bytes);
            decodeFrames();
            if (!closed) {
                readMore();
            }
        });
    }

    private void decodeFrames() {
        while (!closed && received.hasRemainingBytes(Integer.BYTES)) {
            byte[] prefix = new byte[Integer.BYTES];
            received.peekTo(prefix, 0, Integer.BYTES);
            int length = ByteBuffer.wrap(prefix).getInt();
            if (length < 0 || length > MAX_FRAME_BYTES) {
                close(new IOException("invalid frame length: " + length));
                return;
            }
            if (!received.hasRemainingBytes(Integer.BYTES + length)) {
                return;
            }
            received.skip(Integer.BYTES);
            deliver(received.takeExactSize(length).asArray());
        }
    }

    private void deliver(byte[] payload) {
        Frame frame;
        try {
            frame = MessagePackCodec.instance().decode(payload, Frame.class);
        } catch (RuntimeException e) {
            close(e);
            return;
        }
        receiver.accept(frame);
    }
}

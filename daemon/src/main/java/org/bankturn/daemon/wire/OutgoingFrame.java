package org.bankturn.daemon.wire;

import io.activej.bytebuf.ByteBuf;
import java.nio.ByteBuffer;
import org.bankturn.codec.MessagePackCodec;

/**
 * A frame that is encoded once and written in parts.
 *
 * <p>OutgoingFrame is mutable and confined to its reactor's thread.
 */
final class OutgoingFrame {
    /** The size above which a frame delays others noticeably: 16 KiB take 65 ms at 2 Mbit/s. */
    static final int LARGE_BYTES = 16 << 10;

    private static final int PART_BYTES = 64 << 10;

    private final Runnable endListener;
    private final int payloadBytes;
    private byte[] payload;
    private boolean prefixWritten;
    private int offset;

    /** Returns an encoded frame, not null. */
    static OutgoingFrame encode(Frame frame) {
        return encode(frame, () -> {});
    }

    /**
     * Returns an encoded frame, not null.
     *
     * @param frame the content, not null
     * @param endListener called once, when the last part is written or the frame is given up, not null
     */
    static OutgoingFrame encode(Frame frame, Runnable endListener) {
        return new OutgoingFrame(MessagePackCodec.instance().encode(frame), endListener);
    }

    private OutgoingFrame(byte[] payload, Runnable endListener) {
        this.payload = payload;
        this.payloadBytes = payload.length;
        this.endListener = endListener;
    }

    /** Returns the size of the whole frame. */
    int bytes() {
        return Integer.BYTES + payloadBytes;
    }

    /** Returns true if the frame is large enough to delay others. */
    boolean isLarge() {
        return payloadBytes > LARGE_BYTES;
    }

    /** Returns true if a part was taken. */
    boolean isBegun() {
        return prefixWritten;
    }

    /** Returns true if all parts were taken, or the frame was given up. */
    boolean isComplete() {
        return payload == null || (prefixWritten && offset == payloadBytes);
    }

    /** Takes the next part, which for a frame that is not large is all of it. */
    ByteBuf nextPart() {
        if (!prefixWritten) {
            prefixWritten = true;
            return isLarge() ? ByteBuf.wrapForReading(prefix()) : whole();
        }
        int start = offset;
        offset = Math.min(payloadBytes, start + PART_BYTES);
        return ByteBuf.wrap(payload, start, offset);
    }

    /** Lets the bytes go. */
    void end() {
        if (payload != null) {
            payload = null;
            endListener.run();
        }
    }

    private ByteBuf whole() {
        offset = payloadBytes;
        byte[] framed =
                ByteBuffer.allocate(bytes()).putInt(payloadBytes).put(payload).array();
        return ByteBuf.wrapForReading(framed);
    }

    private byte[] prefix() {
        return ByteBuffer.allocate(Integer.BYTES).putInt(payloadBytes).array();
    }
}
